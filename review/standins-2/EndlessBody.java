package org.lycheetray.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.lycheetray.soak.http.HttpMessage;
import org.lycheetray.soak.http.Sockets;

/** Case: servers in trouble send bytes without end in a body, in small chunks. */
public final class EndlessBody {
    private static final int SERVERS = 6;
    private static final int ORDER_CALLERS = 25;
    private static final int BOOKING_CALLERS = 10;
    private static final int ORDER_TIMEOUT_MS = 1_500;
    private static final int BOOKING_TIMEOUT_MS = 2_000;
    private static final double TROUBLE_AT_S = 6;
    private static final double TROUBLE_S = 8;

    private static volatile boolean trouble;

    private EndlessBody() {}

    public static void main(String[] args) throws Exception {
        boolean disrupted = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (CaseRecord record = new CaseRecord(Path.of(args[0]))) {
            try (Stage stage = new Stage(record)) {
                exit = run(stage, record, disrupted);
            } catch (IOException e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(exit);
    }

    private static int run(Stage stage, CaseRecord record, boolean disrupted) throws IOException, InterruptedException {
        stage.putConfig(Load.config("/orders/ unsafe " + ORDER_TIMEOUT_MS + " orders", "/bookings/ unsafe " + BOOKING_TIMEOUT_MS + " bookings"));
        stage.addVm();
        stage.addVm();
        List<String> zones = List.copyOf(stage.zones.keySet());
        for (int i = 0; i < SERVERS; i++) {
            stage.addBackend("orders", zones.get(i % zones.size()), 3, (b, s, m) -> serve(b, s, m, true));
        }
        for (int i = 0; i < SERVERS; i++) {
            stage.addBackend("bookings", zones.get(i % zones.size()), 3, (b, s, m) -> serve(b, s, m, false));
        }
        stage.startVms();
        Load load = new Load(stage);
        for (int vm = 0; vm < 2; vm++) {
            load.start(vm, new Load.Kind("/orders/", "POST", new byte[400], ORDER_TIMEOUT_MS, 4_000), ORDER_CALLERS, 1_000);
            load.start(vm, new Load.Kind("/bookings/", "POST", new byte[400], BOOKING_TIMEOUT_MS, 6_000), BOOKING_CALLERS, 1_000);
        }
        sleepUntil(record, record.now() + TROUBLE_AT_S);
        if (disrupted) {
            record.say("trouble begins");
            trouble = true;
        }
        sleepUntil(record, record.now() + TROUBLE_S);
        trouble = false;
        record.say("trouble ends");
        sleepUntil(record, record.now() + 8);
        load.stop();
        return judge(record, load);
    }

    private static void sleepUntil(CaseRecord record, double at) throws InterruptedException {
        while (record.now() < at) {
            Thread.sleep(20);
        }
    }

    private static boolean serve(Backend b, Socket s, HttpMessage m, boolean troubled) throws IOException, InterruptedException {
        Thread.sleep(60);
        if (!troubled || !trouble) {
            b.reply(s, m, new byte[1_500]);
            return true;
        }
        b.stage.record.add("server %s sends bytes without end to %s", b.id, m.header("X-Request-Id"));
        OutputStream out = s.getOutputStream();
        out.write(Sockets.bytes(b.head(m, 200) + "Transfer-Encoding: chunked\r\n\r\n"));
        byte[] chunks = Sockets.bytes("1\r\nx\r\n".repeat(2_000));
        while (true) {
            out.write(chunks);
        }
    }

    /** CONFIG: of the requests unanswered at their route's timeout, more than half have no answer half a second later. */
    private static int judge(CaseRecord record, Load load) {
        boolean broken = false;
        for (int vm = 0; vm < 2; vm++) {
            int unanswered = 0;
            int late = 0;
            double longest = 0;
            for (Load.Attempt a : load.attempts) {
                double timeout = (a.route().equals("/bookings/") ? BOOKING_TIMEOUT_MS : ORDER_TIMEOUT_MS) / 1e3;
                double took = a.ended() - a.sent();
                if (a.vm() == vm) {
                    longest = Math.max(longest, took);
                    unanswered += took > timeout ? 1 : 0;
                    late += took > timeout + 0.5 ? 1 : 0;
                }
            }
            record.say("VM %d: unanswered at the route's timeout %d, half a second later %d, longest %.1f s", vm, unanswered, late, longest);
            broken |= unanswered >= 8 && late * 2 > unanswered;
        }
        record.say("bookings, whose servers are sound: %s", statuses(load, "/bookings/"));
        record.say("orders: %s", statuses(load, "/orders/"));
        record.say(broken ? "CONFIG was broken" : "CONFIG held");
        return broken ? 1 : 0;
    }

    private static String statuses(Load load, String route) {
        int[] all = load.attempts.stream().filter(a -> a.route().equals(route)).mapToInt(Load.Attempt::status).sorted().toArray();
        StringBuilder text = new StringBuilder();
        for (int s : Arrays.stream(all).distinct().toArray()) {
            text.append(s).append("=").append(Arrays.stream(all).filter(x -> x == s).count()).append(" ");
        }
        return text.toString().strip();
    }
}
