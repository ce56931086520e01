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
 * @param callers headers exchanged with callers
 * @param servers headers exchanged with backend servers
 * @param lookups format of look-up requests and answers
 * @param store opens the store at an address, using the given transport
 */
public record EdgeAdapter(
        CallerDialect callers,
        BackendDialect servers,
        LookupDialect lookups,
        BiFunction<Transport, Endpoint, FleetStore> store) {}
