package org.lycheetray.cli.internal;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.core.config.ConfigHead;
import org.lycheetray.core.manifest.ManifestError;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.config.ConfigClient;

/**
 * The fleet configuration that a command works on. It is read from the platform, or from a manifest file so that
 * commands also work while the platform is unreachable.
 *
 * @param head configuration head, empty if the manifest was read from a file
 * @param manifest accepted manifest, or the content of the file
 */
record FleetConfig(Optional<ConfigHead> head, Manifest manifest) {
    static final String MANIFEST = "manifest";

    static Options options() {
        return new Options()
                .addOption(null, MANIFEST, true, "read the VMs from this manifest file instead of the platform");
    }

    static FleetConfig read(CommandContext context, CommandLine line) throws CommandException {
        if (line.hasOption(MANIFEST)) {
            Manifest manifest = ManifestFile.read(context, line.getOptionValue(MANIFEST))
                    .getOrElseThrow(FleetConfig::invalidManifest);
            return new FleetConfig(Optional.empty(), manifest);
        }
        try (PlatformClient platform = context.createPlatformClient(line)) {
            ConfigClient client = new ConfigClient(platform.tables(), platform.objects());
            Optional<ConfigHead> head = client.readHead().block();
            if (head.isEmpty()) {
                throw CommandException.failed("no configuration has been submitted yet");
            }
            Either<List<ManifestError>, Manifest> manifest =
                    client.readManifest(head.get().accepted()).block();
            return new FleetConfig(head, manifest.getOrElseThrow(FleetConfig::invalidManifest));
        }
    }

    private static CommandException invalidManifest(List<ManifestError> errors) {
        return CommandException.failed("invalid manifest: " + errors.getFirst());
    }
}
