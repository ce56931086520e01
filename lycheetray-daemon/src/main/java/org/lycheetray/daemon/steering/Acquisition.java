package org.lycheetray.daemon.steering;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.slots.SearchEffect;
import org.lycheetray.core.slots.SlotDecision;
import org.lycheetray.core.slots.SlotLoad;
import org.lycheetray.core.slots.SlotRefusal;
import org.lycheetray.core.slots.SlotRequest;
import org.lycheetray.core.slots.SlotRequestId;
import org.lycheetray.core.slots.SlotSearch;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.request.AttemptResult;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.daemon.request.SlotGate;
import reactor.core.publisher.MonoSink;

/** Carries out the search for a slot for one request; for the control thread. */
final class Acquisition {
    private static final ClientAccountName WITHOUT_ACCOUNT = new ClientAccountName("open");
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final FleetSlots slots;
    private final RequestContext request;
    private final ServiceName service;
    private final Set<BackendServerName> tried;
    private final SlotSearch search;
    private final MonoSink<SlotGate.Decision> sink;
    private final Map<DataCentreName, SlotRequestId> open = new HashMap<>();

    Acquisition(
            FleetSlots slots,
            RequestContext request,
            Set<BackendServerName> tried,
            SlotSearch search,
            MonoSink<SlotGate.Decision> sink) {
        this.slots = slots;
        this.request = request;
        this.service = request.route().service();
        this.tried = tried;
        this.search = search;
        this.sink = sink;
    }

    void start() {
        carryOut(search.start());
    }

    void cancel() {
        carryOut(search.cancel());
    }

    private void carryOut(List<SearchEffect> effects) {
        for (SearchEffect e : effects) {
            switch (e) {
                case SearchEffect.RequestSlot a -> ask(a);
                case SearchEffect.Withdraw w -> {
                    SlotRequestId id = open.remove(w.dataCentre());
                    if (id != null) {
                        slots.release(service, w.dataCentre(), id);
                    }
                }
                case SearchEffect.Run r ->
                    sink.success(new SlotGate.Decision.Granted(new OwnedSlot(r.dataCentre(), r.grant())));
                case SearchEffect.GiveUp g ->
                    sink.success(new SlotGate.Decision.Refused(
                            "no slot: " + g.reason().name(), Optional.of(RETRY_AFTER)));
            }
        }
    }

    private void ask(SearchEffect.RequestSlot a) {
        MonotonicTime askedAt = slots.clock().monotonic();
        ClientAccountName account = request.account().orElse(WITHOUT_ACCOUNT);
        int weight = request.config().manifest().clientAccounts().stream()
                .filter(c -> c.name().equals(account))
                .findFirst()
                .map(ClientAccount::weight)
                .orElse(1);
        SlotRequest ask = new SlotRequest(
                slots.nextAsk(), account, weight, request.deadline().since(askedAt), a.mode(), tried);
        open.put(a.dataCentre(), ask.id());
        var _ = slots.ask(service, a.dataCentre(), ask).subscribe(e -> answered(a.dataCentre(), ask, askedAt, e));
    }

    private void answered(DataCentreName from, SlotRequest ask, MonotonicTime askedAt, SlotDecision e) {
        switch (e) {
            case SlotDecision.Granted g -> {
                Duration since = slots.clock().monotonic().since(askedAt);
                if (slots.accept(service, from, g, ask, since)) {
                    open.put(from, ask.id());
                    carryOut(search.granted(from, g));
                } else {
                    slots.release(service, from, ask.id());
                    carryOut(search.refused(from, SlotRefusal.NOT_OWNER, SlotLoad.NONE));
                }
            }
            case SlotDecision.Refused r -> carryOut(search.refused(from, r.reason(), r.load()));
        }
    }

    /** A slot that its owner has granted to this VM. */
    private final class OwnedSlot implements SlotGate.Slot {
        private final DataCentreName dataCentre;
        private final SlotDecision.Granted grant;
        private final AtomicBoolean released = new AtomicBoolean();

        OwnedSlot(DataCentreName dataCentre, SlotDecision.Granted grant) {
            this.dataCentre = dataCentre;
            this.grant = grant;
        }

        @Override
        public BackendServer server() {
            return grant.server();
        }

        @Override
        public String reason() {
            return "granted-by-" + grant.generation().owner().vm() + "-in-" + dataCentre;
        }

        @Override
        public void release(AttemptResult result) {
            if (released.compareAndSet(false, true)) {
                slots.release(service, dataCentre, grant.id());
            }
        }
    }
}
