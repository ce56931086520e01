package org.lycheetray.platform.config;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.config.ConfigHead;
import org.lycheetray.core.config.ConfigRef;
import org.lycheetray.core.config.ConfigRows;
import org.lycheetray.core.config.Submission;
import org.lycheetray.core.config.SubmitEffect;
import org.lycheetray.core.config.SubmitEvent;
import org.lycheetray.core.config.SubmitResult;
import org.lycheetray.core.config.Submitter;
import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.manifest.ManifestError;
import org.lycheetray.core.manifest.ManifestReader;
import org.lycheetray.core.manifest.ManifestWriter;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.platform.ObjectStore;
import org.lycheetray.platform.PlatformException;
import org.lycheetray.platform.PutResult;
import org.lycheetray.platform.TableService;
import reactor.core.publisher.Mono;

/** Submits manifests by performing the effects of a {@link Submitter}, and reads the configuration head and manifests. */
public final class ConfigClient {
    private final TableService tables;
    private final ObjectStore objects;

    /**
     * Creates a client for the given stores.
     *
     * @param tables table service with the configuration rows
     * @param objects object store with the manifests
     */
    public ConfigClient(TableService tables, ObjectStore objects) {
        this.tables = tables;
        this.objects = objects;
    }

    /**
     * Submits a manifest.
     *
     * @param manifest manifest to submit
     * @param base version that the manifest is based on, 0 for the first manifest
     * @param submission id, operator and time of the submission
     * @return the result; a failure is reported as a result, not as an error signal
     */
    public Mono<SubmitResult> submit(Manifest manifest, ConfigVersion base, Submission submission) {
        byte[] json = ManifestWriter.write(manifest);
        Submitter submitter = new Submitter(base, ManifestDigest.of(json), submission);
        return advance(submitter, submitter.start(), json);
    }

    /**
     * Reads the configuration head.
     *
     * @return the head, empty before the first submission, or a {@link PlatformException} if it cannot be read
     */
    public Mono<Optional<ConfigHead>> readHead() {
        return tables.read(ConfigRows.HEAD_KEY)
                .map(row -> row.map(r -> ConfigRows.decodeHead(r).getOrElseThrow(ConfigClient::unreadableHead)));
    }

    /**
     * Reads the manifest of a version.
     *
     * @param ref reference to the version
     * @return the manifest, or the errors of the object; a {@link PlatformException} if the store cannot be read
     */
    public Mono<Either<List<ManifestError>, Manifest>> readManifest(ConfigRef ref) {
        return objects.get(ref.objectName())
                .map(found -> found.map(json -> parse(ref, json))
                        .orElse(invalid("object " + ref.objectName() + " does not exist")));
    }

    /**
     * Parses a manifest received from a peer or read from the object store, and verifies its digest.
     *
     * @param ref expected version
     * @param json the manifest as JSON
     * @return the manifest, or its errors
     */
    public static Either<List<ManifestError>, Manifest> parse(ConfigRef ref, byte[] json) {
        if (!ManifestDigest.of(json).equals(ref.digest())) {
            return invalid("the digest of " + ref.objectName() + " does not match its reference");
        }
        return ManifestReader.read(json);
    }

    private Mono<SubmitResult> advance(Submitter submitter, SubmitEffect effect, byte[] json) {
        if (effect instanceof SubmitEffect.Finished f) {
            return Mono.just(f.result());
        }
        return perform(effect, json)
                .onErrorResume(PlatformException.class, e -> Mono.just(new SubmitEvent.Failed(e.getMessage())))
                .flatMap(event -> advance(submitter, submitter.handle(event), json));
    }

    private Mono<SubmitEvent> perform(SubmitEffect effect, byte[] json) {
        return switch (effect) {
            case SubmitEffect.ReadHead _ -> tables.read(ConfigRows.HEAD_KEY).map(SubmitEvent.HeadRead::new);
            case SubmitEffect.PutObject p ->
                objects.putIfAbsent(p.ref().objectName(), json).map(ConfigClient::toEvent);
            case SubmitEffect.Write w -> tables.write(w.changes()).map(SubmitEvent.Written::new);
            case SubmitEffect.ReadVersion r -> tables.read(r.key()).map(SubmitEvent.VersionRead::new);
            case SubmitEffect.Finished _ -> Mono.empty();
        };
    }

    private static SubmitEvent toEvent(PutResult result) {
        return result == PutResult.STORED
                ? new SubmitEvent.ObjectStored()
                : new SubmitEvent.Failed("the object's name already holds different content");
    }

    private static PlatformException unreadableHead(String problem) {
        return new PlatformException("config.read-head", "platform", problem, null);
    }

    private static <T> Either<List<ManifestError>, T> invalid(String problem) {
        return Either.left(List.of(new ManifestError("$", problem)));
    }
}
