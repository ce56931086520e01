package org.lycheetray.daemon.config.internal;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.lycheetray.core.config.ConfigRef;
import org.lycheetray.core.config.PeerConfigState;
import org.lycheetray.core.manifest.ManifestReader;
import org.lycheetray.core.manifest.ManifestWriter;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.peer.PeerException;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.protocol.generated.ConfigProbe;
import org.lycheetray.protocol.generated.ManifestPart;
import org.lycheetray.protocol.generated.ManifestRequest;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Exchanges states and manifests with peers. */
public final class ConfigPeers {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int PART_BYTES = 256 << 10;

    private final PeerNetwork network;
    private final ControlThread control;
    private Optional<ConfigRef> cachedRef = Optional.empty();
    private byte[] cachedJson = {};

    /**
     * Creates the exchange.
     *
     * @param network carries the messages
     * @param control thread of the states
     */
    public ConfigPeers(PeerNetwork network, ControlThread control) {
        this.network = network;
        this.control = control;
    }

    /**
     * Answers peers from now on.
     *
     * @param states takes a peer's state in and gives the own one, on the control thread
     * @param manifests finds a manifest, on the control thread
     */
    public void serve(UnaryOperator<PeerConfigState> states, Function<ConfigRef, Optional<Manifest>> manifests) {
        network.handle(
                Request._Fields.CONFIG_PROBE,
                (_, r) -> control.call(() -> states.apply(
                                ConfigMessages.fromMessage(r.getConfigProbe().getSender())))
                        .map(v -> Reply.configState(ConfigMessages.toMessage(v))));
        network.handle(Request._Fields.MANIFEST, (_, r) -> control.call(() -> Reply.manifestPart(part(r, manifests))));
    }

    /**
     * Asks a peer for its state.
     *
     * @param peer its address
     * @param own the own state, which it learns thereby
     * @return its state or a {@link PeerException}
     */
    public Mono<PeerConfigState> probe(Endpoint peer, PeerConfigState own) {
        Request request = Request.configProbe(new ConfigProbe(ConfigMessages.toMessage(own)));
        return network.call(peer, request, TIMEOUT).map(reply -> ConfigMessages.fromMessage(reply.getConfigState()));
    }

    /**
     * Fetches a manifest from a peer.
     *
     * @param peer its address
     * @param ref the version
     * @return canonical JSON as the peer sent it, not checked yet, or a {@link PeerException}
     */
    public Mono<byte[]> fetch(Endpoint peer, ConfigRef ref) {
        return fetchRest(peer, ref, new ByteArrayOutputStream());
    }

    private Mono<byte[]> fetchRest(Endpoint peer, ConfigRef ref, ByteArrayOutputStream soFar) {
        Request request = Request.manifest(new ManifestRequest(ConfigMessages.toMessage(ref), soFar.size()));
        return network.call(peer, request, TIMEOUT)
                .publishOn(Schedulers.parallel())
                .flatMap(reply -> {
                    ManifestPart part = reply.getManifestPart();
                    byte[] content = part.getContent();
                    boolean possible = content.length > 0 && part.getTotal() <= ManifestReader.MAX_BYTES;
                    if (!possible || soFar.size() + content.length > part.getTotal()) {
                        return Mono.error(new PeerException(
                                "fetch-manifest", peer.toString(), true, "the peer does not have version " + ref));
                    }
                    soFar.writeBytes(content);
                    return soFar.size() == part.getTotal()
                            ? Mono.just(soFar.toByteArray())
                            : fetchRest(peer, ref, soFar);
                });
    }

    private ManifestPart part(Request r, Function<ConfigRef, Optional<Manifest>> manifests) {
        ConfigRef ref = ConfigMessages.fromMessage(r.getManifest().getRef());
        if (!cachedRef.equals(Optional.of(ref))) {
            Optional<Manifest> found = manifests.apply(ref);
            cachedRef = found.map(_ -> ref);
            cachedJson = found.map(ManifestWriter::write).orElse(new byte[0]);
        }
        int from = Math.clamp(r.getManifest().getOffset(), 0, cachedJson.length);
        byte[] content = Arrays.copyOfRange(cachedJson, from, Math.min(cachedJson.length, from + PART_BYTES));
        ManifestPart part = new ManifestPart();
        part.setTotal(cachedJson.length);
        part.setContent(content);
        return part;
    }
}
