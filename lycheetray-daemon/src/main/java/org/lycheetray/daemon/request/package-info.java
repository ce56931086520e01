/**
 * The request pipeline: routing, authentication, admission, claim, slot, attempts at backend servers, response.
 *
 * <p>The pipeline defines the order of the steps; other packages implement the decisions behind the gate interfaces.
 */
package org.lycheetray.daemon.request;
