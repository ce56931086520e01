package org.lycheetray.core.slots;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;

/**
 * The search for a slot for one request.
 *
 * <p>Ends with one {@link SearchEffect.Run} or {@link SearchEffect.GiveUp}; a grant that arrives later is given back.
 */
public final class SlotSearch {
    private final SlotRouter router;
    private final RegionName assigned;
    private final Set<DataCentreName> asked = new HashSet<>();
    private final Set<DataCentreName> open = new HashSet<>();
    private DataCentreName deviation;
    private boolean queued;
    private boolean ended;

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
     * @return effects to carry out
     */
    public List<SearchEffect> start() {
        Optional<DataCentreName> first = router.firstIn(assigned);
        if (first.isEmpty()) {
            return elsewhereOrEnd(SlotRefusal.NO_BACKEND_SERVER);
        }
        open.add(first.get());
        return List.of(new SearchEffect.Ask(first.get(), AskMode.IF_IDLE));
    }

    /**
     * Takes a grant.
     *
     * @param from the data centre of the owner
     * @param grant the grant
     * @return effects to carry out
     */
    public List<SearchEffect> granted(DataCentreName from, SlotEffect.Granted grant) {
        router.observe(from, grant.load());
        open.remove(from);
        List<SearchEffect> effects = new ArrayList<>();
        if (ended) {
            effects.add(new SearchEffect.Withdraw(from));
            return effects;
        }
        ended = true;
        effects.add(new SearchEffect.Run(from, grant));
        open.forEach(d -> effects.add(new SearchEffect.Withdraw(d)));
        if (deviation != null && !deviation.equals(from)) {
            router.giveBackDeviation();
        }
        return effects;
    }

    /**
     * Takes a refusal, or the loss of the way to an owner, which cannot have led to a run either.
     *
     * @param from the data centre of the owner
     * @param reason why
     * @param load the owner's load
     * @return effects to carry out
     */
    public List<SearchEffect> refused(DataCentreName from, SlotRefusal reason, SlotLoad load) {
        router.observe(from, load);
        open.remove(from);
        if (from.equals(deviation)) {
            deviation = null;
            router.giveBackDeviation();
        }
        if (ended) {
            return List.of();
        }
        if (queued) {
            return open.isEmpty() ? elsewhereOrEnd(reason) : List.of();
        }
        queued = true;
        return queueInRegion(reason);
    }

    private List<SearchEffect> queueInRegion(SlotRefusal reason) {
        List<SearchEffect> effects = new ArrayList<>();
        for (DataCentreName d : router.usableIn(assigned)) {
            open.add(d);
            effects.add(new SearchEffect.Ask(d, AskMode.QUEUE));
        }
        effects.addAll(elsewhere());
        return effects.isEmpty() ? end(reason) : effects;
    }

    private List<SearchEffect> elsewhereOrEnd(SlotRefusal reason) {
        List<SearchEffect> effects = elsewhere();
        return effects.isEmpty() ? end(reason) : effects;
    }

    private List<SearchEffect> elsewhere() {
        Optional<DataCentreName> other = router.soonerElsewhere(assigned, asked);
        if (deviation != null || other.isEmpty() || !router.tryDeviate()) {
            return List.of();
        }
        deviation = other.get();
        asked.add(deviation);
        open.add(deviation);
        queued = true;
        return List.of(new SearchEffect.Ask(deviation, AskMode.FROM_OTHER_REGION));
    }

    private List<SearchEffect> end(SlotRefusal reason) {
        ended = true;
        return List.of(new SearchEffect.GiveUp(reason));
    }

    /**
     * Ends the search because the caller has gone or the deadline has passed.
     *
     * @return effects to carry out
     */
    public List<SearchEffect> cancel() {
        if (ended) {
            return List.of();
        }
        ended = true;
        if (deviation != null) {
            router.giveBackDeviation();
        }
        return open.stream().<SearchEffect>map(SearchEffect.Withdraw::new).toList();
    }
}
