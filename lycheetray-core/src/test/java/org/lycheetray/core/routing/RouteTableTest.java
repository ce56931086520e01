package org.lycheetray.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.model.ServiceName;

class RouteTableTest {
    private final Route any = route("*", "/order");
    private final Route deeper = route("*", "/order/status");
    private final Route host = route("shop.example", "/order");
    private final RouteTable table = new RouteTable(List.of(any, deeper, host));

    @Test
    void theLongestPrefixWins() {
        assertThat(table.find("", "/order/status/1")).contains(deeper);
    }

    @Test
    void anExactHostTakesPrecedenceOverTheWildcard() {
        assertThat(table.find("Shop.Example:8080", "/order/status")).contains(host);
    }

    @Test
    void matchesWholeSegmentsOnly() {
        assertThat(table.find("", "/orders")).isEqualTo(Optional.empty());
    }

    private static Route route(String host, String prefix) {
        return new Route(host, prefix, new ServiceName("desk"), RouteClass.READ, false);
    }
}
