package org.lycheetray.cli.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.lycheetray.cli.ExitCode;
import org.lycheetray.core.ledger.LedgerLine;
import org.lycheetray.core.ledger.LedgerNames;
import org.lycheetray.core.ledger.LedgerSegment;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.ledger.LedgerReader;
import reactor.core.publisher.Flux;

/** Prints the ledger line of one request. */
final class ExplainCommand implements Command {
    /** A ledger line and the segment that contains it. */
    private record FoundLine(LedgerSegment segment, LedgerLine line) {}

    @Override
    public List<String> words() {
        return List.of("explain");
    }

    @Override
    public String arguments() {
        return "REQUEST-ID";
    }

    @Override
    public String summary() {
        return "show the outcome of one request, from the ledger";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        if (line.getArgList().size() != 1) {
            throw CommandException.usage("expected one request id, the value of the header Lycheetray-Request-Id");
        }
        RequestId id = new RequestId(line.getArgList().getFirst());
        Incarnation incarnation = LedgerNames.incarnation(id)
                .orElseThrow(() -> CommandException.usage("not a request id of the form VM.INCARNATION.NUMBER: " + id));
        try (PlatformClient platform = context.createPlatformClient(line)) {
            Optional<FoundLine> found = new LedgerReader(platform.objects())
                    .readIncarnation(incarnation, context.clock().instant())
                    .filter(Either::isRight)
                    .map(Either::get)
                    .concatMap(s -> find(s, id))
                    .next()
                    .blockOptional();
            if (found.isEmpty()) {
                throw CommandException.failed(
                        "no line of %s in the ledger of %s; run lycheetray accounts to list ledger gaps"
                                .formatted(id, incarnation));
            }
            print(context, line, found.get());
            return ExitCode.OK;
        }
    }

    private static Flux<FoundLine> find(LedgerSegment s, RequestId id) {
        return Flux.fromIterable(s.lines()).filter(l -> l.id().equals(id)).map(l -> new FoundLine(s, l));
    }

    private static void print(CommandContext context, CommandLine line, FoundLine found) {
        ObjectNode json = LedgerOutput.lineJson(found.line())
                .put("vm", found.segment().incarnation().vm().value())
                .put("incarnation", found.segment().incarnation().number())
                .put("segment", LedgerNames.of(found.segment()));
        if (line.hasOption(Commands.JSON)) {
            context.printJson(json);
            return;
        }
        json.properties()
                .forEach(e -> context.out()
                        .printf(
                                "%-12s %s%n",
                                e.getKey(),
                                e.getValue().isNull() ? "-" : e.getValue().asText()));
    }
}
