package org.lycheetray.edge;

import java.util.function.BiFunction;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.edge.dialect.BackendDialect;
import org.lycheetray.edge.dialect.CallerDialect;
import org.lycheetray.edge.dialect.LookupDialect;
import org.lycheetray.edge.store.FleetStore;

/**
 * Platform-specific parts of an entry VM: the HTTP headers, look-up format and store of the platform it runs on.
 *
 * @param callerDialect headers exchanged with callers
 * @param backendDialect headers exchanged with backend servers
 * @param lookupDialect format of look-up requests and answers
 * @param storeFactory opens the store at an address, using the given transport
 */
public record EdgeAdapter(
        CallerDialect callerDialect,
        BackendDialect backendDialect,
        LookupDialect lookupDialect,
        BiFunction<Transport, Endpoint, FleetStore> storeFactory) {}
