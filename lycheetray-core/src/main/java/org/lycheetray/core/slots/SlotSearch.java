package org.lycheetray.core.slots;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;

/**
 * Search for a slot for one client request.
 *
 * <p>Ends with one {@link SearchEffect.Run} or {@link SearchEffect.GiveUp}; a grant that arrives later is released.
 */
public final class SlotSearch {
    private final SlotRouter router;
    private final RegionName assigned;
    private final Set<DataCentreName> triedInOtherRegions = new HashSet<>();
    private final Set<DataCentreName> pending = new HashSet<>();
    private DataCentreName deviation;
    private boolean queued;
    private boolean finished;

    @Override
    public String toString() {
        return "search for a slot in " + assigned;
    }

    SlotSearch(SlotRouter router, RegionName assigned) {
        this.router = router;
        this.assigned = assigned;
    }

    /**
     * Starts the search.
     *
     * @return actions to perform
     */
    public List<SearchEffect> start() {
        Optional<DataCentreName> first = router.preferredIn(assigned);
        if (first.isEmpty()) {
            return requestFromOtherRegionOrFail(SlotRefusal.NO_BACKEND_SERVER);
        }
        pending.add(first.get());
        return List.of(new SearchEffect.RequestSlot(first.get(), SlotRequestMode.IF_IDLE));
    }

    /**
     * Processes a grant.
     *
     * @param from the data centre of the owner
     * @param grant the grant
     * @return actions to perform
     */
    public List<SearchEffect> granted(DataCentreName from, SlotDecision.Granted grant) {
        router.updateLoad(from, grant.load());
        pending.remove(from);
        List<SearchEffect> effects = new ArrayList<>();
        if (finished) {
            effects.add(new SearchEffect.Withdraw(from));
            return effects;
        }
        finished = true;
        effects.add(new SearchEffect.Run(from, grant));
        pending.forEach(d -> effects.add(new SearchEffect.Withdraw(d)));
        if (deviation != null && !deviation.equals(from)) {
            router.giveBackDeviation();
        }
        return effects;
    }

    /**
     * Processes a refusal, or a lost connection to an owner. In both cases the client request has not run.
     *
     * @param from the data centre of the owner
     * @param reason reason for the refusal
     * @param load the owner's load
     * @return actions to perform
     */
    public List<SearchEffect> refused(DataCentreName from, SlotRefusal reason, SlotLoad load) {
        router.updateLoad(from, load);
        pending.remove(from);
        if (from.equals(deviation)) {
            deviation = null;
            router.giveBackDeviation();
        }
        if (finished) {
            return List.of();
        }
        if (queued) {
            return pending.isEmpty() ? requestFromOtherRegionOrFail(reason) : List.of();
        }
        queued = true;
        return queueInRegion(reason);
    }

    private List<SearchEffect> queueInRegion(SlotRefusal reason) {
        List<SearchEffect> effects = new ArrayList<>();
        for (DataCentreName d : router.usableIn(assigned)) {
            pending.add(d);
            effects.add(new SearchEffect.RequestSlot(d, SlotRequestMode.QUEUE));
        }
        effects.addAll(requestFromOtherRegion());
        return effects.isEmpty() ? fail(reason) : effects;
    }

    private List<SearchEffect> requestFromOtherRegionOrFail(SlotRefusal reason) {
        List<SearchEffect> effects = requestFromOtherRegion();
        return effects.isEmpty() ? fail(reason) : effects;
    }

    private List<SearchEffect> requestFromOtherRegion() {
        Optional<DataCentreName> other = router.nearestIdleInOtherRegion(assigned, triedInOtherRegions);
        if (deviation != null || other.isEmpty() || !router.tryDeviate()) {
            return List.of();
        }
        deviation = other.get();
        triedInOtherRegions.add(deviation);
        pending.add(deviation);
        queued = true;
        return List.of(new SearchEffect.RequestSlot(deviation, SlotRequestMode.FROM_OTHER_REGION));
    }

    private List<SearchEffect> fail(SlotRefusal reason) {
        finished = true;
        return List.of(new SearchEffect.GiveUp(reason));
    }

    /**
     * Cancels the search because the caller has disconnected or the deadline has passed.
     *
     * @return actions to perform
     */
    public List<SearchEffect> cancel() {
        if (finished) {
            return List.of();
        }
        finished = true;
        if (deviation != null) {
            router.giveBackDeviation();
        }
        return pending.stream().<SearchEffect>map(SearchEffect.Withdraw::new).toList();
    }
}
