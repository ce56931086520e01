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
 * The fleet that a command asks about: from the platform, or from a file while the platform is out of reach.
 *
 * @param head newest version, empty if the fleet came from a file
 * @param manifest the accepted manifest
 */
record FleetSource(Optional<ConfigHead> head, Manifest manifest) {
    static final String MANIFEST = "manifest";

    static Options options() {
        return new Options()
                .addOption(null, MANIFEST, true, "take the VMs from this file and leave the platform alone");
    }

    static FleetSource read(CommandContext context, CommandLine line) throws CommandException {
        if (line.hasOption(MANIFEST)) {
            Manifest manifest =
                    ManifestFile.read(context, line.getOptionValue(MANIFEST)).getOrElseThrow(FleetSource::bad);
            return new FleetSource(Optional.empty(), manifest);
        }
        try (PlatformClient platform = context.platform(line)) {
            ConfigClient client = new ConfigClient(platform.tables(), platform.objects());
            Optional<ConfigHead> head = client.head().block();
            if (head.isEmpty()) {
                throw CommandException.failed("no configuration was submitted yet");
            }
            Either<List<ManifestError>, Manifest> manifest =
                    client.manifest(head.get().accepted()).block();
            return new FleetSource(head, manifest.getOrElseThrow(FleetSource::bad));
        }
    }

    private static CommandException bad(List<ManifestError> errors) {
        return CommandException.failed("the manifest is not usable: " + errors.getFirst());
    }
}
