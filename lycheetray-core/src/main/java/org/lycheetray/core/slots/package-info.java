/**
 * Allocation of backend server concurrency slots to requests.
 *
 * <p>One entry VM per service and data centre owns the slots and keeps the exact count. A VM requests a grant from an
 * owner before it dispatches a request and holds the grant until the request ends. A request that an owner refuses has
 * not run, because nothing was sent to a backend server.
 */
package org.lycheetray.core.slots;
