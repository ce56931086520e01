package org.lycheetray.standin.example;

import java.time.Duration;
import java.util.List;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.RouteClass;

/**
 * Shape of an example: what differs between the deployments.
 *
 * @param name name of the file without its suffix
 * @param regions regions, the first holds the platform's store
 * @param entryVms entry VMs over all data centres
 * @param ports ports that the processes listen on
 * @param regionDelay one-way delay between regions
 * @param connections connections that each backend server accepts
 * @param services services
 * @param routes routes
 * @param accounts client accounts
 */
record ExampleDeployment(
        String name,
        List<String> regions,
        int entryVms,
        Ports ports,
        Duration regionDelay,
        int connections,
        List<ExampleService> services,
        List<ExampleRoute> routes,
        List<ExampleAccount> accounts) {
    /** Port numbers before the first of each kind. */
    record Ports(int callers, int peers, int backendServers) {}

    /** A service and the size of its pool. */
    record ExampleService(String name, int instances, int slots, Duration timeout, int queueLimit) {}

    /** A route on any host. */
    record ExampleRoute(String pathPrefix, String service, RouteClass routeClass, boolean open) {}

    /** A client account; its only key is {@code demo-key-NAME}. */
    record ExampleAccount(String name, Rate rate, int weight) {}

    static ExampleDeployment olwyn() {
        return new ExampleDeployment(
                "olwyn",
                List.of("gogledd", "de", "canolbarth"),
                8,
                new Ports(18_100, 19_100, 17_000),
                Duration.ofMillis(12),
                330,
                List.of(
                        new ExampleService("catalogue", 12, 3, Duration.ofSeconds(2), 120),
                        new ExampleService("order-desk", 12, 3, Duration.ofSeconds(10), 60),
                        new ExampleService("archive", 14, 6, Duration.ofSeconds(60), 2_000)),
                List.of(
                        new ExampleRoute("/shop-window", "catalogue", RouteClass.READ, true),
                        new ExampleRoute("/catalogue", "catalogue", RouteClass.READ, false),
                        new ExampleRoute("/archive", "archive", RouteClass.QUEUE, false),
                        new ExampleRoute("/orders", "order-desk", RouteClass.ONCE, false)),
                List.of(
                        new ExampleAccount("members", new Rate(400, 800), 4),
                        new ExampleAccount("web-shop", new Rate(400, 800), 4),
                        new ExampleAccount("workshop-caernarfon", new Rate(120, 240), 2),
                        new ExampleAccount("workshop-newtown", new Rate(60, 120), 1),
                        new ExampleAccount("workshop-swansea", new Rate(60, 120), 1),
                        new ExampleAccount("warranty-desk", new Rate(40, 100), 1),
                        new ExampleAccount("cycle-hire-bala", new Rate(20, 40), 1),
                        new ExampleAccount("school-workshop", new Rate(10, 20), 1)));
    }

    static ExampleDeployment gatolote() {
        return new ExampleDeployment(
                "gatolote",
                List.of("guate-centro", "altiplano", "peten"),
                11,
                new Ports(28_100, 29_100, 27_000),
                Duration.ofMillis(20),
                390,
                List.of(
                        new ExampleService("rota-board", 12, 3, Duration.ofSeconds(3), 120),
                        new ExampleService("booking-ledger", 12, 3, Duration.ofSeconds(10), 60),
                        new ExampleService("owner-portal", 20, 4, Duration.ofSeconds(10), 400)),
                List.of(
                        new ExampleRoute("/welcome", "owner-portal", RouteClass.READ, true),
                        new ExampleRoute("/rota", "rota-board", RouteClass.READ, false),
                        new ExampleRoute("/visit-notes", "owner-portal", RouteClass.QUEUE, false),
                        new ExampleRoute("/bookings", "booking-ledger", RouteClass.ONCE, false)),
                List.of(
                        new ExampleAccount("gatos-de-antigua", new Rate(300, 600), 1),
                        new ExampleAccount("bigotes-zona-diez", new Rate(300, 600), 1),
                        new ExampleAccount("maullidos-xela", new Rate(80, 160), 1),
                        new ExampleAccount("siete-vidas-coban", new Rate(40, 80), 1),
                        new ExampleAccount("patitas-flores", new Rate(40, 80), 1),
                        new ExampleAccount("ronroneo-panajachel", new Rate(30, 60), 1),
                        new ExampleAccount("gatuno-huehue", new Rate(20, 40), 1),
                        new ExampleAccount("minino-tikal", new Rate(10, 20), 1)));
    }
}
