/**
 * The protocol between entry VMs: Thrift messages in authenticated frames.
 *
 * <p>A frame consists of a length of four bytes, an authentication code of {@link
 * org.lycheetray.protocol.FrameAuthenticator#CODE_BYTES} bytes that proves knowledge of the fleet secret, and a
 * message in Thrift's compact protocol.
 */
package org.lycheetray.protocol;
