package org.lycheetray.daemon.http;

import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;

/** Answers which entry VMs a caller should use. */
@FunctionalInterface
public interface LookupGate {
    /**
     * A look-up.
     *
     * @param client address of the caller
     * @param service service that the caller wants
     * @param account the caller's client account if it showed a valid key
     */
    record Lookup(InetAddress client, ServiceName service, Optional<ClientAccountName> account) {}

    /**
     * Entry VMs in order of preference.
     *
     * @param vms the VMs, best first
     * @param ttl how long the answer may be cached
     */
    record Answer(List<Vm> vms, Duration ttl) {
        /** Copies the list. */
        public Answer {
            vms = List.copyOf(vms);
        }
    }

    /**
     * Answers from memory.
     *
     * @param lookup the look-up
     * @return the answer, or empty before a configuration was learnt
     */
    Optional<Answer> find(Lookup lookup);
}
