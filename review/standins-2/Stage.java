package org.lycheetray.review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lycheetray.soak.http.HttpReader;
import org.lycheetray.soak.http.Sockets;
import org.lycheetray.soak.store.StoreRows;
import org.lycheetray.soak.store.StoreServer;

/** A small deployment on loopback: the store, entry VMs as processes, backend servers and what they record. */
final class Stage implements AutoCloseable {
    static final int CALLERS_PORT = 8206;
    static final int READY_PORT = 8201;
    static final int STORE_PORT = 8205;
    static final int SERVER_PORT = 9000;
    static final int GRACE_S = 6;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern SECTION = Pattern.compile("\\{\\{#zones}}(.*?)\\{\\{/zones}}", Pattern.DOTALL);

    final Path root = Path.of(System.getProperty("lycheetray.root")).toAbsolutePath().normalize();
    final Path folder;
    final CaseRecord record;
    final StoreRows rows = new StoreRows();
    final StoreServer store = new StoreServer(rows);
    final Map<String, String> zones = new LinkedHashMap<>();
    final List<Vm> vms = new ArrayList<>();
    final List<Backend> backends = new ArrayList<>();
    private final int network;

    Stage(CaseRecord record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("lycheetray-review");
        network = freeNetwork();
        zones.put("bangor", "gogledd");
        zones.put("caerdydd", "de");
        zones.put("aber", "canolbarth");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endVms));
    }

    /** Ends all processes that were started here. */
    private void endVms() {
        for (Vm vm : vms) {
            if (vm.process != null) {
                vm.process.destroyForcibly();
            }
        }
    }

    private static int freeNetwork() throws IOException {
        long begin = ProcessHandle.current().pid();
        for (int i = 0; i < 60; i++) {
            int n = 130 + (int) ((begin + i) % 60);
            try (var a = Sockets.listen(new InetSocketAddress("127." + n + ".1.1", STORE_PORT));
                    var b = Sockets.listen(new InetSocketAddress("127." + n + ".1.1", CALLERS_PORT))) {
                return n;
            } catch (IOException e) {
                // In use by another run.
            }
        }
        throw new IOException("no free loopback network");
    }

    String vmHost(int vm) {
        return "127." + network + ".1." + (1 + vm);
    }

    String serverHost(int server) {
        return "127." + network + ".100." + (1 + server);
    }

    InetSocketAddress callers(int vm) {
        return new InetSocketAddress(vmHost(vm), CALLERS_PORT);
    }

    void putConfig(String json) {
        rows.put("op", "config", Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
    }

    Vm addVm() throws IOException {
        int index = vms.size();
        store.listen(index, new InetSocketAddress(vmHost(index), STORE_PORT));
        Vm vm = new Vm(index);
        vms.add(vm);
        return vm;
    }

    Backend addBackend(String service, String zone, int slots, Backend.Handler handler) throws IOException {
        Backend b = new Backend(this, backends.size(), service, zone, slots, handler);
        backends.add(b);
        return b;
    }

    /** An entry VM, started with the command and the settings template of the deploy file. */
    final class Vm {
        final int index;
        private final Path settings;
        final Path log;
        private Process process;

        Vm(int index) throws IOException {
            this.index = index;
            settings = folder.resolve("vm-" + index + ".settings");
            log = folder.resolve("vm-" + index + ".log");
            Files.writeString(settings, settingsText());
        }

        private String zone() {
            return List.copyOf(zones.keySet()).get(index % zones.size());
        }

        private String settingsText() throws IOException {
            String ip = vmHost(index);
            Map<String, String> v = new LinkedHashMap<>();
            v.put("node_name", "front-" + zone() + "-" + index);
            v.put("zone", zone());
            v.put("ip", ip);
            v.put("listen.front", ip + ":" + CALLERS_PORT);
            v.put("listen.ready", ip + ":" + READY_PORT);
            v.put("listen.directory", ip + ":8209");
            v.put("internal_ports.0", "7600");
            v.put("internal_ports.1", "7615");
            v.put("platform.address", ip + ":" + STORE_PORT);
            v.put("limits.memory_mb", "430");
            v.put("bounds.grace_period_s", Integer.toString(GRACE_S));
            v.put("bounds.ttl_max_s", "5");
            v.put("bounds.retry_budget_ratio", "0.2");
            v.put("bounds.retry_budget_extra", "56");
            v.put("bounds.budget_window_s", "10");
            v.put("bounds.quota_window_s", "5");
            v.put("bounds.quota_overage", "0.1");
            v.put("bounds.quota_slack", "20");
            v.put("bounds.cold_overage", "1.5");
            v.put("bounds.cold_slack", "5");
            v.put("bounds.max_shift", "0.15");
            String text = Files.readString(root.resolve("deploy/settings.template"));
            Matcher m = SECTION.matcher(text);
            if (m.find()) {
                List<String> parts = new ArrayList<>();
                zones.forEach((z, r) -> parts.add(z + ":" + r));
                text = text.substring(0, m.start()) + String.join(",", parts) + text.substring(m.end());
            }
            for (Map.Entry<String, String> e : v.entrySet()) {
                text = text.replace("{{" + e.getKey() + "}}", e.getValue());
            }
            if (text.contains("{{")) {
                throw new IOException("the settings template asks for a field that has no value here");
            }
            return text;
        }

        void start() throws IOException {
            Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!run.find() || !Files.exists(root.resolve("target/classpath.args"))) {
                throw new IOException("the tree is not built");
            }
            List<String> command = List.of(run.group(1).split(" "));
            ProcessBuilder b = new ProcessBuilder(command).directory(root.toFile());
            b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            b.environment().put("LYCHEETRAY_NODE_FILE", settings.toString());
            b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = b.start();
        }

        Process process() {
            return process;
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try (Socket s = new Socket()) {
                s.setSoTimeout(1_000);
                s.connect(new InetSocketAddress(vmHost(index), READY_PORT), 1_000);
                s.getOutputStream().write(Sockets.bytes("GET /v1/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n"));
                return new HttpReader(s.getInputStream()).readResponse().status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws IOException, InterruptedException {
            long end = System.nanoTime() + Duration.ofSeconds(40).toNanos();
            while (!isReady()) {
                if (System.nanoTime() > end || !process.isAlive()) {
                    throw new IOException("VM " + index + " did not become ready: " + Files.readString(log));
                }
                Thread.sleep(50);
            }
        }
    }

    /** Starts all VMs and waits until they are ready and know each other. */
    void startVms() throws IOException, InterruptedException {
        for (Vm vm : vms) {
            vm.start();
        }
        for (Vm vm : vms) {
            vm.awaitReady();
        }
        Thread.sleep(3_000);
    }

    @Override
    public void close() {
        endVms();
        backends.forEach(Backend::close);
        store.close();
        try (var files = Files.list(folder)) {
            files.forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The temporary folder stays.
        }
        folder.toFile().delete();
    }
}
