/** Requests that one VM sends to a backend server in place of another, which can't reach it. */
package org.lycheetray.edge.relay;
