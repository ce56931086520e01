package org.lycheetray.cli.internal;

import io.vavr.control.Either;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.lycheetray.cli.ExitCode;
import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.manifest.ManifestError;
import org.lycheetray.core.manifest.ManifestWriter;
import org.lycheetray.core.model.Manifest;

/** Validates a manifest locally, without contacting the platform. */
final class ValidateCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("validate");
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "validate a manifest and report all errors";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        Either<List<ManifestError>, Manifest> result = ManifestFile.read(context, line);
        if (result.isLeft() || line.hasOption(Commands.JSON)) {
            ManifestFile.printErrors(context, line, result.isLeft() ? result.getLeft() : List.of());
            return result.isLeft() ? ExitCode.FAILED : ExitCode.OK;
        }
        Manifest m = result.get();
        context.out()
                .printf(
                        "valid: %d entry VMs, %d services, %d client accounts, digest %s%n",
                        m.vms().size(),
                        m.services().size(),
                        m.clientAccounts().size(),
                        ManifestDigest.of(ManifestWriter.write(m)));
        return ExitCode.OK;
    }
}
