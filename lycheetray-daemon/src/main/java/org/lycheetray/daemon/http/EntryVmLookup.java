package org.lycheetray.daemon.http;

import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;

/** Selects the entry VMs that a caller should use. */
@FunctionalInterface
public interface EntryVmLookup {
    /**
     * A look-up of entry VMs.
     *
     * @param client IP address of the caller
     * @param service service that the caller wants to use
     * @param account client account of the caller, or empty if the look-up carries no valid key
     */
    record Query(InetAddress client, ServiceName service, Optional<ClientAccountName> account) {}

    /**
     * The entry VMs to use, in order of preference.
     *
     * @param vms the VMs, most preferred first
     * @param ttl time for which the caller may cache the answer
     */
    record Answer(List<Vm> vms, Duration ttl) {
        /** Makes a defensive copy of the list. */
        public Answer {
            vms = List.copyOf(vms);
        }
    }

    /**
     * Answers a look-up from in-memory state, without blocking.
     *
     * @param lookup the look-up
     * @return the answer, or empty while no configuration is active
     */
    Optional<Answer> findVms(Query lookup);
}
