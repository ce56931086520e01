package org.lycheetray.measure.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheetray.core.admission.AdmissionResult;
import org.lycheetray.core.admission.DistributedRateLimiter;
import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.admission.RateDecision;
import org.lycheetray.core.admission.RateEffect;
import org.lycheetray.core.admission.RateLimiterOptions;
import org.lycheetray.core.admission.ReferenceTokenBucket;
import org.lycheetray.core.admission.StaticSplitRateLimiter;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** A fleet of decision classes joined by delayed messages; every admission is checked with one exact bucket. */
final class Fleet {
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration DETECTION = Duration.ofMillis(1500);
    private static final int STORE_OPERATIONS_PER_START = 2;

    private final EventLoop loop;
    private final Deployment deployment;
    private final Manifest manifest;
    private final RateLimiterOptions options = RateLimiterOptions.DEFAULT;
    private final Map<VmName, Vm> vms = new HashMap<>();
    private final Map<VmName, VmProcess> processes = new HashMap<>();
    private final Map<VmName, StaticSplitRateLimiter> splits = new HashMap<>();
    private final Map<ClientAccountName, ReferenceTokenBucket> admitted = new HashMap<>();
    private final Map<ClientAccountName, ReferenceTokenBucket> reference = new HashMap<>();
    private final Set<DataCentreName> cutOff = new HashSet<>();
    private final Tally tally = new Tally();

    Fleet(EventLoop loop, Deployment deployment, int vmCount) {
        this.loop = loop;
        this.deployment = deployment;
        this.manifest = deployment.manifest(vmCount);
        for (ClientAccount a : manifest.clientAccounts()) {
            admitted.put(a.name(), new ReferenceTokenBucket(a.rate(), loop.now()));
            reference.put(a.name(), new ReferenceTokenBucket(a.rate(), loop.now()));
        }
        for (Vm vm : manifest.vms()) {
            vms.put(vm.name(), vm);
            splits.put(vm.name(), new StaticSplitRateLimiter(manifest, loop.now()));
            start(vm.name(), loop.now());
        }
        loop.every(TICK, this::tick);
    }

    Manifest manifest() {
        return manifest;
    }

    Tally tally() {
        return tally;
    }

    /** Starts a process whose base share may be used from a point in time; null if not yet known. */
    void start(VmName name, MonotonicTime shareFrom) {
        DistributedRateLimiter shares =
                new DistributedRateLimiter(new Incarnation(name, loop.now().nanos() / 1_000_000), options);
        processes.put(name, new VmProcess(shares));
        shares.updateConfigs(List.of(manifest), loop.now());
        if (shareFrom != null) {
            hold(name, name, shareFrom);
        }
    }

    void hold(VmName holder, VmName share, MonotonicTime from) {
        tally.storeOperations += STORE_OPERATIONS_PER_START;
        processes.get(holder).shares.acquireShare(share, from, loop.now());
    }

    void kill(VmName name) {
        processes.remove(name);
        loop.after(DETECTION, this::updateReachable);
    }

    void cut(DataCentreName dataCentre, Duration length) {
        cutOff.add(dataCentre);
        loop.after(DETECTION, this::updateReachable);
        loop.after(length, () -> {
            cutOff.remove(dataCentre);
            updateReachable();
        });
    }

    void updateReachable() {
        processes.forEach((name, p) -> {
            Set<VmName> unreachable = new HashSet<>();
            for (VmName o : vms.keySet()) {
                if (!processes.containsKey(o) || !isConnected(name, o)) {
                    unreachable.add(o);
                }
            }
            p.shares.updateUnreachable(unreachable);
        });
    }

    private boolean isConnected(VmName a, VmName b) {
        DataCentreName da = vms.get(a).dataCentre();
        DataCentreName db = vms.get(b).dataCentre();
        return da.equals(db) || (!cutOff.contains(da) && !cutOff.contains(db));
    }

    void request(ClientAccount account, Vm vm) {
        VmProcess p = processes.get(vm.name());
        if (p == null) {
            return;
        }
        MonotonicTime now = loop.now();
        tally.requests++;
        boolean within = reference.get(account.name()).admit(now);
        boolean bySplit = splits.get(vm.name()).admit(account.name(), now);
        tally.withinRate += within ? 1 : 0;
        tally.wrongfulOfSplit += within && !bySplit ? 1 : 0;
        AdmissionResult a = p.shares.admit(account.name(), now.plus(DEADLINE), now);
        switch (a.decision()) {
            case RateDecision.Waiting w -> {
                tally.waited++;
                p.waiting.put(w.ticket(), new Request(account.name(), within));
            }
            case RateDecision.Admitted d -> count(new Request(account.name(), within), d);
            case RateDecision.Refused d -> count(new Request(account.name(), within), d);
        }
        perform(vm.name(), p, a.effects());
    }

    private void count(Request request, RateDecision decision) {
        if (decision instanceof RateDecision.Admitted) {
            tally.admitted++;
            tally.overAdmitted += admitted.get(request.account()).admit(loop.now()) ? 0 : 1;
        } else {
            tally.wrongful += request.within() ? 1 : 0;
        }
    }

    private void tick() {
        tally.vmSeconds += processes.size() * TICK.toNanos() / 1e9;
        processes.forEach((name, p) -> perform(name, p, p.shares.tick(loop.now())));
    }

    private void perform(VmName self, VmProcess p, List<RateEffect> effects) {
        for (RateEffect e : effects) {
            switch (e) {
                case RateEffect.Send s -> send(self, s.to(), s.message());
                case RateEffect.Decided d -> count(p.waiting.remove(d.ticket()), d.decision());
            }
        }
    }

    private void send(VmName from, VmName to, LoanMessage message) {
        tally.messages++;
        loop.after(deployment.delay(vms.get(from), vms.get(to)), () -> {
            VmProcess p = processes.get(to);
            if (p != null && isConnected(from, to)) {
                perform(to, p, p.shares.onMessage(from, message, loop.now()));
            }
        });
    }

    /** A process of a VM and the requests that wait in it. */
    private static final class VmProcess {
        private final DistributedRateLimiter shares;
        private final Map<Long, Request> waiting = new HashMap<>();

        VmProcess(DistributedRateLimiter shares) {
            this.shares = shares;
        }
    }

    /** A request and whether one exact bucket admits it. */
    private record Request(ClientAccountName account, boolean within) {}
}
