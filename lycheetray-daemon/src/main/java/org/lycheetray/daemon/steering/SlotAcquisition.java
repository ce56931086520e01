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

/**
 * Acquires a slot for one request by carrying out the effects of its {@link SlotSearch}.
 *
 * <p>Not thread-safe: used on the control thread only. A granted slot may be released from any thread.
 */
final class SlotAcquisition {
    private static final ClientAccountName ANONYMOUS_ACCOUNT = new ClientAccountName("open");
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final SlotAllocator slots;
    private final RequestContext request;
    private final ServiceName service;
    private final Set<BackendServerName> triedServers;
    private final SlotSearch search;
    private final MonoSink<SlotGate.Decision> sink;
    private final Map<DataCentreName, SlotRequestId> pendingRequests = new HashMap<>();

    SlotAcquisition(
            SlotAllocator slots,
            RequestContext request,
            Set<BackendServerName> triedServers,
            SlotSearch search,
            MonoSink<SlotGate.Decision> sink) {
        this.slots = slots;
        this.request = request;
        this.service = request.route().service();
        this.triedServers = triedServers;
        this.search = search;
        this.sink = sink;
    }

    void start() {
        perform(search.start());
    }

    void cancel() {
        perform(search.cancel());
    }

    private void perform(List<SearchEffect> effects) {
        for (SearchEffect e : effects) {
            switch (e) {
                case SearchEffect.RequestSlot s -> requestSlot(s);
                case SearchEffect.Withdraw w -> {
                    SlotRequestId id = pendingRequests.remove(w.dataCentre());
                    if (id != null) {
                        slots.release(service, w.dataCentre(), id);
                    }
                }
                case SearchEffect.Run r ->
                    sink.success(new SlotGate.Decision.Granted(new GrantedSlot(r.dataCentre(), r.grant())));
                case SearchEffect.GiveUp g ->
                    sink.success(new SlotGate.Decision.Refused(
                            "no slot: " + g.reason().name(), Optional.of(RETRY_AFTER)));
            }
        }
    }

    private void requestSlot(SearchEffect.RequestSlot s) {
        MonotonicTime requestedAt = slots.clock().monotonic();
        ClientAccountName account = request.account().orElse(ANONYMOUS_ACCOUNT);
        int weight = request.config().manifest().clientAccounts().stream()
                .filter(c -> c.name().equals(account))
                .findFirst()
                .map(ClientAccount::weight)
                .orElse(1);
        SlotRequest slotRequest = new SlotRequest(
                slots.nextRequestId(), account, weight, request.deadline().since(requestedAt), s.mode(), triedServers);
        pendingRequests.put(s.dataCentre(), slotRequest.id());
        var _ = slots.requestSlot(service, s.dataCentre(), slotRequest)
                .subscribe(d -> handleAnswer(s.dataCentre(), slotRequest, requestedAt, d));
    }

    private void handleAnswer(DataCentreName from, SlotRequest slotRequest, MonotonicTime requestedAt, SlotDecision e) {
        switch (e) {
            case SlotDecision.Granted g -> {
                Duration sinceRequest = slots.clock().monotonic().since(requestedAt);
                if (slots.acceptGrant(service, from, g, slotRequest, sinceRequest)) {
                    pendingRequests.put(from, slotRequest.id());
                    perform(search.granted(from, g));
                } else {
                    slots.release(service, from, slotRequest.id());
                    perform(search.refused(from, SlotRefusal.NOT_OWNER, SlotLoad.NONE));
                }
            }
            case SlotDecision.Refused r -> perform(search.refused(from, r.reason(), r.load()));
        }
    }

    /** A slot that its owner has granted to this VM; the release is sent to the owner at most once. */
    private final class GrantedSlot implements SlotGate.Slot {
        private final DataCentreName dataCentre;
        private final SlotDecision.Granted grant;
        private final AtomicBoolean released = new AtomicBoolean();

        GrantedSlot(DataCentreName dataCentre, SlotDecision.Granted grant) {
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
