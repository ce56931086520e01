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

/** Exchanges configuration states and manifests with peers. */
public final class ConfigPeerExchange {
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    private static final int PART_BYTES = 256 << 10;

    private final PeerNetwork network;
    private final ControlThread control;
    private Optional<ConfigRef> cachedRef = Optional.empty();
    private byte[] cachedJson = {};

    /**
     * Creates the exchange.
     *
     * @param network transports the messages
     * @param control thread that owns the configuration state
     */
    public ConfigPeerExchange(PeerNetwork network, ControlThread control) {
        this.network = network;
        this.control = control;
    }

    /**
     * Registers the handlers that answer peers.
     *
     * @param states applies a peer's state and returns the local one; called on the control thread
     * @param manifests returns a manifest by version; called on the control thread
     */
    public void registerHandlers(
            UnaryOperator<PeerConfigState> states, Function<ConfigRef, Optional<Manifest>> manifests) {
        network.registerHandler(
                Request._Fields.CONFIG_PROBE,
                (_, r) -> control.call(() -> states.apply(ConfigMessageCodec.fromMessage(
                                r.getConfigProbe().getSender())))
                        .map(v -> Reply.configState(ConfigMessageCodec.toMessage(v))));
        network.registerHandler(
                Request._Fields.MANIFEST, (_, r) -> control.call(() -> Reply.manifestPart(readPart(r, manifests))));
    }

    /**
     * Sends the local state to a peer and requests the state of the peer.
     *
     * @param peer address of the peer
     * @param localState state of this VM
     * @return the state of the peer, or a {@link PeerException}
     */
    public Mono<PeerConfigState> probe(Endpoint peer, PeerConfigState localState) {
        Request request = Request.configProbe(new ConfigProbe(ConfigMessageCodec.toMessage(localState)));
        return network.call(peer, request, PEER_TIMEOUT)
                .map(reply -> ConfigMessageCodec.fromMessage(reply.getConfigState()));
    }

    /**
     * Fetches a manifest from a peer.
     *
     * @param peer address of the peer
     * @param ref version and digest of the manifest
     * @return canonical JSON as the peer sent it, not verified against the digest, or a {@link PeerException}
     */
    public Mono<byte[]> fetch(Endpoint peer, ConfigRef ref) {
        return fetchRest(peer, ref, new ByteArrayOutputStream());
    }

    private Mono<byte[]> fetchRest(Endpoint peer, ConfigRef ref, ByteArrayOutputStream soFar) {
        Request request = Request.manifest(new ManifestRequest(ConfigMessageCodec.toMessage(ref), soFar.size()));
        return network.call(peer, request, PEER_TIMEOUT)
                .publishOn(Schedulers.parallel())
                .flatMap(reply -> {
                    ManifestPart part = reply.getManifestPart();
                    byte[] content = part.getContent();
                    boolean valid = content.length > 0 && part.getTotal() <= ManifestReader.MAX_BYTES;
                    if (!valid || soFar.size() + content.length > part.getTotal()) {
                        return Mono.error(new PeerException(
                                "fetch-manifest", peer.toString(), true, "the peer does not have version " + ref));
                    }
                    soFar.writeBytes(content);
                    return soFar.size() == part.getTotal()
                            ? Mono.just(soFar.toByteArray())
                            : fetchRest(peer, ref, soFar);
                });
    }

    private ManifestPart readPart(Request r, Function<ConfigRef, Optional<Manifest>> manifests) {
        ConfigRef ref = ConfigMessageCodec.fromMessage(r.getManifest().getRef());
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
