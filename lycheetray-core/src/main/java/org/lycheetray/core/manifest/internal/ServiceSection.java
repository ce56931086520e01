package org.lycheetray.core.manifest.internal;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.lycheetray.core.manifest.internal.NameRegistry.Kind;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.ShiftCap;

/** Reads the services with their backend servers, and the routes of a manifest. */
final class ServiceSection {
    private static final Duration MILLISECOND = Duration.ofMillis(1);
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);
    private static final Duration MAX_COLD_START = Duration.ofHours(1);
    private static final Duration MAX_SHIFT_INTERVAL = Duration.ofHours(1);
    private static final int MAX_QUEUE_LIMIT = 1_000_000;
    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_PERMILLE = 1_000;
    private static final int MAX_PREFIX_LENGTH = 1_024;
    private static final Pattern HOST = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?");
    private static final List<String> RESERVED_PATHS =
            List.of("/v1/entry-vms", "/healthz", "/readyz", "/statusz", "/metrics");

    private final ManifestBuilder builder;
    private final NameRegistry names;

    ServiceSection(ManifestBuilder builder, NameRegistry names) {
        this.builder = builder;
        this.names = names;
    }

    void readService(ObjectFields f) {
        ServiceName name = new ServiceName(f.name("name", n -> names.declare(Kind.SERVICE, n, f.pathOf("name"))));
        ShiftCap[] cap = {new ShiftCap(1, MILLISECOND)};
        f.object("shiftCap", c -> cap[0] = readShiftCap(c));
        builder.services.add(new Service(
                name,
                cap[0],
                f.millis("timeoutMs", MILLISECOND, MAX_TIMEOUT),
                f.millis("coldStartMs", Duration.ZERO, MAX_COLD_START),
                f.smallInteger("queueLimit", 0, MAX_QUEUE_LIMIT)));
        f.objects("backendServers", b -> readBackendServer(name, b));
    }

    void readRoute(ObjectFields f) {
        String host = f.text("host").orElse(Route.ANY_HOST);
        if (!host.equals(Route.ANY_HOST) && !HOST.matcher(host).matches()) {
            f.report("host", "expected * or a lower-case host name without port but was " + ObjectFields.quote(host));
        }
        String prefix = f.text("pathPrefix").orElse("/");
        checkPathPrefix(f, prefix);
        if (f.has("host") && f.has("pathPrefix")) {
            names.declare(Kind.ROUTE, host + " " + prefix, f.pathOf("pathPrefix"));
        }
        ServiceName service =
                new ServiceName(f.name("service", n -> names.addReference(Kind.SERVICE, n, f.pathOf("service"))));
        RouteClass routeClass = readRouteClass(f);
        boolean open = f.bool("open");
        if (open && routeClass == RouteClass.ONCE) {
            f.report("open", "a route of class once cannot be open, because its claims are stored per client account");
        }
        builder.routes.add(new Route(host, prefix, service, routeClass, open));
    }

    private ShiftCap readShiftCap(ObjectFields f) {
        return new ShiftCap(
                f.smallInteger("permille", 1, MAX_PERMILLE), f.millis("intervalMs", MILLISECOND, MAX_SHIFT_INTERVAL));
    }

    private void readBackendServer(ServiceName service, ObjectFields f) {
        builder.backendServers.add(new BackendServer(
                new BackendServerName(f.name("name", n -> names.declare(Kind.BACKEND_SERVER, n, f.pathOf("name")))),
                service,
                new DataCentreName(
                        f.name("dataCentre", n -> names.addReference(Kind.DATA_CENTRE, n, f.pathOf("dataCentre")))),
                f.endpoint("address", a -> names.declare(Kind.ADDRESS, a, f.pathOf("address"))),
                f.smallInteger("slots", 1, MAX_SLOTS),
                f.smallInteger("connections", 1, MAX_CONNECTIONS)));
    }

    private static void checkPathPrefix(ObjectFields f, String prefix) {
        if (!prefix.startsWith("/") || prefix.length() > MAX_PREFIX_LENGTH || !hasOnlyPathCharacters(prefix)) {
            f.report(
                    "pathPrefix",
                    "expected a path of at most " + MAX_PREFIX_LENGTH + " characters that starts with / but was "
                            + ObjectFields.quote(prefix));
        }
        for (String reserved : RESERVED_PATHS) {
            if (prefix.equals(reserved) || prefix.startsWith(reserved + "/")) {
                f.report("pathPrefix", reserved + " is reserved for the endpoints of the entry VMs");
            }
        }
    }

    private static boolean hasOnlyPathCharacters(String prefix) {
        return prefix.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '?' && c != '#');
    }

    private static RouteClass readRouteClass(ObjectFields f) {
        Optional<String> label = f.text("class");
        Optional<RouteClass> found = label.flatMap(l -> Arrays.stream(RouteClass.values())
                .filter(c -> c.label().equals(l))
                .findAny());
        if (label.isPresent() && found.isEmpty()) {
            String labels =
                    Arrays.stream(RouteClass.values()).map(RouteClass::label).collect(Collectors.joining(", "));
            f.report("class", "expected one of " + labels + " but was " + ObjectFields.quote(label.get()));
        }
        return found.orElse(RouteClass.READ);
    }
}
