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

/** Prints the accepted and pending configuration version and the status reported by each entry VM. */
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
        return "show version, state and freshness of each VM, region headroom and lease holders";
    }

    @Override
    public Options options() {
        return FleetConfig.options();
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        FleetConfig fleet = FleetConfig.read(context, line);
        List<VmProbe.VmStatus> answers = VmProbe.fetchStatus(fleet.manifest().vms());
        if (line.hasOption(Commands.JSON)) {
            context.printJson(json(fleet, answers));
        } else {
            print(context, fleet, answers);
        }
        return answers.stream().allMatch(VmProbe.VmStatus::isReachable) ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void print(CommandContext context, FleetConfig fleet, List<VmProbe.VmStatus> answers) {
        fleet.head().ifPresent(h -> context.out().println(describe(h)));
        context.out().printf(ROW, "VM", "DATA CENTRE", "STATE", "VERSION", "PENDING", "FRESHNESS", "RUNNING", "NOTE");
        for (VmProbe.VmStatus a : answers) {
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
        fleetSections(answers).forEach((name, text) -> context.out().println(name + ": " + text));
    }

    /**
     * Returns the status sections other than {@code process} and {@code config}. They describe a data centre or the
     * fleet rather than one VM, so only the first VM of each data centre that reports a section is used.
     */
    private static Map<String, JsonNode> fleetSections(List<VmProbe.VmStatus> answers) {
        Map<String, JsonNode> found = new TreeMap<>();
        for (VmProbe.VmStatus a : answers) {
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

    private static ObjectNode json(FleetConfig fleet, List<VmProbe.VmStatus> answers) {
        ObjectNode all = JsonNodeFactory.instance.objectNode();
        fleet.head().ifPresent(h -> {
            all.put("accepted", h.accepted().version().number());
            all.put("newest", h.version().number());
            all.put("pending", h.isPending());
        });
        ArrayNode vms = all.putArray("entryVms");
        for (VmProbe.VmStatus a : answers) {
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
