package org.lycheetray.core.membership.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lycheetray.core.membership.DataCentreView;
import org.lycheetray.core.membership.ViewVersion;
import org.lycheetray.core.model.DataCentreName;

/** Newest known view of each data centre. */
public final class RemoteViews {
    private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Map<DataCentreName, DataCentreView> views = new TreeMap<>();
    private long digest;

    /**
     * Stores a view if it is newer than the known one.
     *
     * @param view the view
     * @return true if the view was stored
     */
    public boolean accept(DataCentreView view) {
        DataCentreView known = views.get(view.dataCentre());
        if (known != null && !view.isNewerThan(known)) {
            return false;
        }
        if (known != null) {
            digest ^= hash(known);
        }
        digest ^= hash(view);
        views.put(view.dataCentre(), view);
        return true;
    }

    /**
     * Returns the known view of a data centre.
     *
     * @param dataCentre the data centre
     * @return the view, empty if none is known
     */
    public Optional<DataCentreView> view(DataCentreName dataCentre) {
        return Optional.ofNullable(views.get(dataCentre));
    }

    /**
     * Returns a digest of all views; VMs with the same views have equal digests.
     *
     * @return the digest
     */
    public long digest() {
        return digest;
    }

    /**
     * Returns the known view versions.
     *
     * @param dataCentres data centres to include
     * @return one version per data centre
     */
    public List<ViewVersion> versions(Collection<DataCentreName> dataCentres) {
        return dataCentres.stream()
                .map(d ->
                        new ViewVersion(d, view(d).map(DataCentreView::version).orElse(0L)))
                .toList();
    }

    /**
     * Returns the views that another VM may lack. Views of equal version are included because their authors may differ.
     *
     * @param versions view versions known to the other VM
     * @return the views that are not older than those versions
     */
    public List<DataCentreView> notOlderThan(Collection<ViewVersion> versions) {
        Map<DataCentreName, Long> theirs = new HashMap<>();
        versions.forEach(v -> theirs.put(v.dataCentre(), v.version()));
        return views.values().stream()
                .filter(v -> v.version() >= theirs.getOrDefault(v.dataCentre(), 0L))
                .toList();
    }

    private static long hash(DataCentreView v) {
        long h = v.dataCentre().value().hashCode();
        h = h * DIGEST_MULTIPLIER + v.version();
        h = h * DIGEST_MULTIPLIER + v.author().number();
        h = h * DIGEST_MULTIPLIER + v.author().vm().value().hashCode();
        return h ^ (h >>> 29);
    }
}
