package org.lycheetray.standin.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.platform.VmListing;
import org.lycheetray.platform.VmListing.ListedVm;

/** Shows each change of the list of VMs only after a lag. */
final class LaggingVmList {
    private final Clock clock;
    private final Duration lag;
    private final Deque<Change> pending = new ArrayDeque<>();
    private List<ListedVm> shown;

    LaggingVmList(Clock clock, Duration lag, List<ListedVm> initial) {
        this.clock = clock;
        this.lag = lag;
        this.shown = List.copyOf(initial);
    }

    synchronized void change(List<ListedVm> vms) {
        pending.addLast(new Change(clock.monotonic().plus(lag), List.copyOf(vms)));
    }

    synchronized VmListing listing() {
        MonotonicTime now = clock.monotonic();
        while (!pending.isEmpty() && !now.isBefore(pending.getFirst().visibleAt())) {
            shown = pending.removeFirst().vms();
        }
        return new VmListing(clock.instant().minus(lag), shown);
    }

    private record Change(MonotonicTime visibleAt, List<ListedVm> vms) {}
}
