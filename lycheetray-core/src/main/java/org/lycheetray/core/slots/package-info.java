/**
 * Who may use which slot of which backend server.
 *
 * <p>One entry VM per service and data centre owns the slots and counts them exactly. A VM that wants to run a request
 * asks an owner for a grant and keeps the grant until the request has ended. An owner's refusal is provably not run,
 * since nothing was sent to a backend server.
 */
package org.lycheetray.core.slots;
