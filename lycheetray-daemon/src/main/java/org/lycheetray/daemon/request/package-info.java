/**
 * The path of one request: route, key, admission, claim, slot, backend server, answer.
 *
 * <p>The pipeline knows the order of the steps; each decision is behind a gate interface that other packages implement.
 */
package org.lycheetray.daemon.request;
