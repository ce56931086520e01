package org.lycheetray.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.cli.ExitCode;
import org.lycheetray.core.config.ConfigHead;

/** Shows the newest version and what each VM says of itself. */
final class StatusCommand implements Command {
    private static final String ROW = "%-24s %-20s %-10s %-8s %-8s %-10s %-8s %s%n";

    @Override
    public List<String> words() {
        return List.of("status");
    }

    @Override
    public String arguments() {
        return "[--manifest FILE]";
    }

    @Override
    public String summary() {
        return "each VM's version, state and freshness, region headroom and lease holders";
    }

    @Override
    public Options options() {
        return FleetSource.options();
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        FleetSource fleet = FleetSource.read(context, line);
        List<VmProbe.Answer> answers = VmProbe.ask(fleet.manifest().vms());
        if (line.hasOption(Commands.JSON)) {
            context.printJson(json(fleet, answers));
        } else {
            print(context, fleet, answers);
        }
        return answers.stream().allMatch(VmProbe.Answer::isReachable) ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void print(CommandContext context, FleetSource fleet, List<VmProbe.Answer> answers) {
        fleet.head().ifPresent(h -> context.out().println(describe(h)));
        context.out().printf(ROW, "VM", "DATA CENTRE", "STATE", "VERSION", "PENDING", "FRESHNESS", "RUNNING", "NOTE");
        for (VmProbe.Answer a : answers) {
            context.out()
                    .printf(
                            ROW,
                            a.vm().name(),
                            a.vm().dataCentre(),
                            a.text("process", "phase"),
                            a.text("config", "version"),
                            a.text("config", "pending"),
                            a.text("config", "keyTrust"),
                            a.text("process", "inProgress"),
                            a.problem());
        }
        otherSections(answers).forEach((name, text) -> context.out().println(name + ": " + text));
    }

    /** Sections about the fleet as a whole, from the first VM that has them. */
    private static Map<String, JsonNode> otherSections(List<VmProbe.Answer> answers) {
        Map<String, JsonNode> found = new TreeMap<>();
        for (VmProbe.Answer a : answers) {
            a.status().properties().forEach(f -> {
                if (!List.of("process", "config").contains(f.getKey())) {
                    found.putIfAbsent(f.getKey() + " (" + a.vm().dataCentre() + ")", f.getValue());
                }
            });
        }
        return found;
    }

    private static String describe(ConfigHead h) {
        String text = "version " + h.accepted().version() + " accepted";
        return h.isPending() ? text + ", version " + h.version() + " pending, " + h.submission() : text;
    }

    private static ObjectNode json(FleetSource fleet, List<VmProbe.Answer> answers) {
        ObjectNode all = JsonNodeFactory.instance.objectNode();
        fleet.head().ifPresent(h -> {
            all.put("accepted", h.accepted().version().number());
            all.put("newest", h.version().number());
            all.put("pending", h.isPending());
        });
        ArrayNode vms = all.putArray("entryVms");
        for (VmProbe.Answer a : answers) {
            ObjectNode vm = vms.addObject();
            vm.put("name", a.vm().name().value());
            vm.put("dataCentre", a.vm().dataCentre().value());
            vm.put("reachable", a.isReachable());
            vm.put("problem", a.problem());
            vm.set("status", a.status());
        }
        return all;
    }
}
