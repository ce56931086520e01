package org.lycheetray.review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.lycheetray.soak.http.HttpMessage;
import org.lycheetray.soak.http.HttpReader;
import org.lycheetray.soak.http.Sockets;

/** Case: a request that crashes servers comes again after all VMs were killed. */
public final class CrashingRequest {
    private static final int VMS = 3;
    private static final int SERVERS = 6;
    private static final int CONTACT_S = 3;
    private static final String POISON = "/orders/reprice";
    private static final double BACK_AFTER_S = 2;
    private static final double KILL_AT_S = 38;
    private static final double DOWN_S = 1;
    private static final double END_S = 62;

    /** An arrival of the request at a server, which crashes. */
    private record Arrival(String id, double at) {}

    private final Stage stage;
    private final CaseRecord record;
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Map<String, Double> sent = new ConcurrentHashMap<>();
    private final Map<String, Integer> sentTo = new ConcurrentHashMap<>();
    private final double[] startedAt = new double[VMS];

    private CrashingRequest(Stage stage, CaseRecord record) {
        this.stage = stage;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean disrupted = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (CaseRecord record = new CaseRecord(Path.of(args[0]))) {
            try (Stage stage = new Stage(record)) {
                exit = new CrashingRequest(stage, record).run(disrupted);
            } catch (IOException e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(exit);
    }

    private int run(boolean disrupted) throws IOException, InterruptedException {
        stage.putConfig(Load.config("/orders/ unsafe 2000 orders", "/catalogue/ safe 1500 catalogue"));
        for (int v = 0; v < VMS; v++) {
            stage.addVm();
        }
        List<String> zones = List.copyOf(stage.zones.keySet());
        for (int i = 0; i < SERVERS; i++) {
            stage.addBackend("orders", zones.get(i % zones.size()), 3, this::serve);
        }
        for (int i = 0; i < SERVERS; i++) {
            stage.addBackend("catalogue", zones.get(i % zones.size()), 3, this::serve);
        }
        stage.startVms();
        Load load = new Load(stage);
        for (int v = 0; v < VMS; v++) {
            startedAt[v] = record.now() - CONTACT_S;
            load.start(v, new Load.Kind("/orders/", "POST", new byte[400], 2_000, 6_000), 4, 1_000);
            load.start(v, new Load.Kind("/catalogue/", "GET", new byte[0], 1_500, 4_000), 4, 1_000);
        }
        Thread.sleep(2_000);
        double begin = record.now();
        boolean killed = false;
        for (int n = 0; record.now() < begin + END_S; n++) {
            if (disrupted && !killed && record.now() > begin + KILL_AT_S) {
                killed = true;
                killAll();
            }
            // The caller tries again at one VM after the other.
            send(n % VMS, String.format("%016x", 0xb000_0000L + n));
            Thread.sleep(1_500);
        }
        load.stop();
        return judge();
    }

    /** Kills all VMs at the same moment; they start again, and the caller comes back when they are in touch. */
    private void killAll() throws IOException, InterruptedException {
        record.say("all VMs are killed");
        for (Stage.Vm vm : stage.vms) {
            vm.process().destroyForcibly();
        }
        for (Stage.Vm vm : stage.vms) {
            vm.process().waitFor();
        }
        Thread.sleep((long) (DOWN_S * 1_000));
        for (Stage.Vm vm : stage.vms) {
            vm.start();
            startedAt[vm.index] = record.now();
        }
        for (Stage.Vm vm : stage.vms) {
            vm.awaitReady();
        }
        record.say("all VMs are ready again");
        Thread.sleep(CONTACT_S * 1_000 + 1_000);
    }

    private void send(int vm, String id) {
        sent.put(id, record.now());
        sentTo.put(id, vm);
        int status = 0;
        try (Socket s = new Socket()) {
            s.setSoTimeout(6_000);
            s.connect(stage.callers(vm), 1_000);
            byte[] body = new byte[120];
            s.getOutputStream().write(Sockets.bytes("POST " + POISON + " HTTP/1.1\r\nHost: " + Load.HOST + "\r\nX-Request-Id: " + id
                    + "\r\nX-Request-Deadline-Ms: 6000\r\nContent-Length: " + body.length + "\r\n\r\n"));
            s.getOutputStream().write(body);
            status = new HttpReader(s.getInputStream()).readResponse().status();
        } catch (IOException e) {
            // Stays 0.
        }
        record.add("client sent the crashing request as %s to vm=%d: status=%d", id, vm, status);
    }

    private boolean serve(Backend b, Socket s, HttpMessage m) throws IOException, InterruptedException {
        if (!m.target().equals(POISON)) {
            Thread.sleep(60);
            b.reply(s, m, new byte[400]);
            return true;
        }
        arrivals.add(new Arrival(m.header("X-Request-Id"), record.now()));
        record.add("server %s crashes on %s", b.id, m.header("X-Request-Id"));
        b.crash();
        Thread.startVirtualThread(() -> {
            try {
                Thread.sleep((long) (BACK_AFTER_S * 1_000));
                b.restart();
            } catch (IOException | InterruptedException e) {
                record.add("server %s did not come back: %s", b.id, e);
            }
        });
        return false;
    }

    /**
     * BUDGET: a request that crashes the instances that run it reaches instances in more than three retries, sent by machines
     * in touch later than contact_ms after it has crashed the third.
     */
    private int judge() {
        List<Arrival> all = List.copyOf(arrivals);
        record.say("servers crashed by the request: %d", all.size());
        if (all.size() < 3) {
            record.say("the request did not crash three servers");
            return 2;
        }
        double third = all.get(2).at();
        List<String> retries = all.stream()
                .filter(a -> a.at() > third + CONTACT_S)
                .filter(a -> sent.get(a.id()) > startedAt[sentTo.get(a.id())] + CONTACT_S || sent.get(a.id()) < startedAt[sentTo.get(a.id())])
                .map(Arrival::id)
                .distinct()
                .toList();
        record.say("third crash at %.1f s; retries that reached servers later than %d s after it: %d (%s)", third, CONTACT_S, retries.size(),
                String.join(" ", retries.stream().map(id -> String.format("%.1f", sent.get(id))).toList()));
        boolean broken = retries.size() > 3;
        record.say(broken ? "BUDGET was broken" : "BUDGET held");
        return broken ? 1 : 0;
    }
}
