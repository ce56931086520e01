package org.lycheetray.edge;

import java.util.function.BiFunction;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.edge.dialect.BackendDialect;
import org.lycheetray.edge.dialect.CallerDialect;
import org.lycheetray.edge.dialect.LookupDialect;
import org.lycheetray.edge.store.FleetStore;

/**
 * What an edge needs to know of the place that it runs in.
 *
 * @param callers how callers speak
 * @param servers how backend servers speak
 * @param lookups how look-ups are asked and answered
 * @param store opens the store at an address, on an event loop
 */
public record EdgeAdapter(
        CallerDialect callers,
        BackendDialect servers,
        LookupDialect lookups,
        BiFunction<Transport, Endpoint, FleetStore> store) {}
