package org.lycheetray.measure.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Vm;

/** Moves a manifest to ports that are free on this machine. */
final class FreePorts {
    private static final String HOST = "127.0.0.1";

    private FreePorts() {}

    static Manifest move(Manifest m) throws IOException {
        List<Integer> ports = find(m.vms().size() * 2 + m.backendServers().size());
        List<Vm> vms = new ArrayList<>();
        for (Vm v : m.vms()) {
            vms.add(new Vm(v.name(), v.dataCentre(), next(ports), next(ports)));
        }
        List<BackendServer> servers = new ArrayList<>();
        for (BackendServer b : m.backendServers()) {
            servers.add(
                    new BackendServer(b.name(), b.service(), b.dataCentre(), next(ports), b.slots(), b.connections()));
        }
        return new Manifest(
                m.regions(),
                m.dataCentres(),
                vms,
                m.links(),
                m.services(),
                servers,
                m.routes(),
                m.clientAccounts(),
                m.clientBlocks(),
                m.plannedDrains(),
                m.policy());
    }

    private static Endpoint next(List<Integer> ports) {
        return new Endpoint(HOST, ports.removeLast());
    }

    private static List<Integer> find(int number) throws IOException {
        List<ServerSocket> open = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            ServerSocket s = new ServerSocket(0, 1, InetAddress.ofLiteral(HOST));
            open.add(s);
            ports.add(s.getLocalPort());
        }
        for (ServerSocket s : open) {
            s.close();
        }
        return ports;
    }
}
