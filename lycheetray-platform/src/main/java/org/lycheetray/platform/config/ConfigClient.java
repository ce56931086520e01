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

/** Performs the effects of a {@link Submitter}, and reads the head and manifests. */
public final class ConfigClient {
    private final TableService tables;
    private final ObjectStore objects;

    /**
     * Creates a client.
     *
     * @param tables holds the head
     * @param objects holds the manifests
     */
    public ConfigClient(TableService tables, ObjectStore objects) {
        this.tables = tables;
        this.objects = objects;
    }

    /**
     * Submits a manifest.
     *
     * @param manifest the content
     * @param base version that it was made from, 0 for the first
     * @param submission who submits
     * @return how that ended; not an error
     */
    public Mono<SubmitResult> submit(Manifest manifest, ConfigVersion base, Submission submission) {
        byte[] json = ManifestWriter.write(manifest);
        Submitter submitter = new Submitter(base, ManifestDigest.of(json), submission);
        return step(submitter, submitter.start(), json);
    }

    /**
     * Reads the head.
     *
     * @return empty before the first submission; a {@link PlatformException} if it cannot be read
     */
    public Mono<Optional<ConfigHead>> head() {
        return tables.read(ConfigRows.HEAD_KEY)
                .map(row -> row.map(r -> ConfigRows.decodeHead(r).getOrElseThrow(ConfigClient::unreadable)));
    }

    /**
     * Reads the manifest of a version.
     *
     * @param ref the version
     * @return the manifest, or what is wrong with the object; a {@link PlatformException} if it cannot be read
     */
    public Mono<Either<List<ManifestError>, Manifest>> manifest(ConfigRef ref) {
        return objects.get(ref.objectName())
                .map(found -> found.map(json -> parse(ref, json))
                        .orElse(wrong("object " + ref.objectName() + " does not exist")));
    }

    /**
     * Parses a manifest that a peer or the store gave.
     *
     * @param ref the version that it should be
     * @param json its bytes
     * @return the manifest, or what is wrong with it
     */
    public static Either<List<ManifestError>, Manifest> parse(ConfigRef ref, byte[] json) {
        if (!ManifestDigest.of(json).equals(ref.digest())) {
            return wrong("the digest of " + ref.objectName() + " is another one");
        }
        return ManifestReader.read(json);
    }

    private Mono<SubmitResult> step(Submitter submitter, SubmitEffect effect, byte[] json) {
        if (effect instanceof SubmitEffect.Finished f) {
            return Mono.just(f.result());
        }
        return perform(effect, json)
                .onErrorResume(PlatformException.class, e -> Mono.just(new SubmitEvent.Failed(e.getMessage())))
                .flatMap(event -> step(submitter, submitter.handle(event), json));
    }

    private Mono<SubmitEvent> perform(SubmitEffect effect, byte[] json) {
        return switch (effect) {
            case SubmitEffect.ReadHead _ -> tables.read(ConfigRows.HEAD_KEY).map(SubmitEvent.HeadRead::new);
            case SubmitEffect.PutObject p ->
                objects.putIfAbsent(p.ref().objectName(), json).map(ConfigClient::stored);
            case SubmitEffect.Write w -> tables.write(w.changes()).map(SubmitEvent.Written::new);
            case SubmitEffect.ReadVersion r -> tables.read(r.key()).map(SubmitEvent.VersionRead::new);
            case SubmitEffect.Finished _ -> Mono.empty();
        };
    }

    private static SubmitEvent stored(PutResult result) {
        return result == PutResult.STORED
                ? new SubmitEvent.ObjectStored()
                : new SubmitEvent.Failed("the object's name is taken by other content");
    }

    private static PlatformException unreadable(String problem) {
        return new PlatformException("config.read-head", "platform", problem, null);
    }

    private static <T> Either<List<ManifestError>, T> wrong(String problem) {
        return Either.left(List.of(new ManifestError("$", problem)));
    }
}
