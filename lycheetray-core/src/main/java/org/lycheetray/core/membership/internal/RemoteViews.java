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

/** The newest known view of every data centre. */
public final class RemoteViews {
    private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Map<DataCentreName, DataCentreView> views = new TreeMap<>();
    private long digest;

    /**
     * Takes a view if it is newer than the one known.
     *
     * @param view the view
     * @return true if it replaced the known one
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
     * Gives the known view of a data centre.
     *
     * @param dataCentre the data centre
     * @return its view, if any
     */
    public Optional<DataCentreView> view(DataCentreName dataCentre) {
        return Optional.ofNullable(views.get(dataCentre));
    }

    /**
     * Gives a digest over all views, equal on VMs that know the same ones.
     *
     * @return the digest
     */
    public long digest() {
        return digest;
    }

    /**
     * Lists the known versions.
     *
     * @param dataCentres data centres to list
     * @return a version for each
     */
    public List<ViewVersion> versions(Collection<DataCentreName> dataCentres) {
        return dataCentres.stream()
                .map(d ->
                        new ViewVersion(d, view(d).map(DataCentreView::version).orElse(0L)))
                .toList();
    }

    /**
     * Selects the views that another VM may lack; equal versions are sent too, since their authors may differ.
     *
     * @param versions versions that the other VM knows
     * @return views that are not older
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
