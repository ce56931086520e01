package org.lycheetray.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.cli.ExitCode;
import org.lycheetray.core.model.DrainTarget;
import org.lycheetray.core.model.PlannedDrain;

/** Lists the planned drains of the manifest and the entry VMs that are shutting down. */
final class DrainStatusCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("drain", "status");
    }

    @Override
    public String arguments() {
        return "[--manifest FILE]";
    }

    @Override
    public String summary() {
        return "list planned drains and entry VMs that are leaving";
    }

    @Override
    public Options options() {
        return FleetConfig.options();
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        FleetConfig fleet = FleetConfig.read(context, line);
        Instant now = context.clock().instant();
        List<VmProbe.VmStatus> leaving = VmProbe.fetchStatus(fleet.manifest().vms()).stream()
                .filter(VmProbe.VmStatus::isReachable)
                .filter(a -> List.of("LEAVING", "DRAINING", "STOPPED").contains(a.text("process", "phase")))
                .toList();
        if (line.hasOption(Commands.JSON)) {
            context.printJson(json(fleet, leaving, now));
            return ExitCode.OK;
        }
        for (PlannedDrain d : fleet.manifest().plannedDrains()) {
            context.out().printf("%-8s %-32s %s to %s%n", state(d, now), describe(d.target()), d.start(), d.end());
        }
        for (VmProbe.VmStatus a : leaving) {
            context.out()
                    .printf(
                            "leaving  %-32s %s, %s requests in progress%n",
                            "entry VM " + a.vm().name(), a.text("process", "phase"), a.text("process", "inProgress"));
        }
        return ExitCode.OK;
    }

    private static ObjectNode json(FleetConfig fleet, List<VmProbe.VmStatus> leaving, Instant now) {
        ObjectNode all = JsonNodeFactory.instance.objectNode();
        ArrayNode drains = all.putArray("plannedDrains");
        for (PlannedDrain d : fleet.manifest().plannedDrains()) {
            drains.addObject()
                    .put("state", state(d, now))
                    .put("target", describe(d.target()))
                    .put("start", d.start().toString())
                    .put("end", d.end().toString());
        }
        ArrayNode vms = all.putArray("leavingEntryVms");
        for (VmProbe.VmStatus a : leaving) {
            vms.addObject()
                    .put("name", a.vm().name().value())
                    .put("phase", a.text("process", "phase"))
                    .put(
                            "inProgress",
                            a.status().path("process").path("inProgress").asLong());
        }
        return all;
    }

    private static String state(PlannedDrain d, Instant now) {
        if (d.isActive(now)) {
            return "active";
        }
        return now.isBefore(d.start()) ? "planned" : "ended";
    }

    private static String describe(DrainTarget target) {
        return switch (target) {
            case DrainTarget.OfRegion t -> "region " + t.region();
            case DrainTarget.OfDataCentre t -> "data centre " + t.dataCentre();
            case DrainTarget.OfBackendServer t -> "backend server " + t.backendServer();
            case DrainTarget.OfVm t -> "entry VM " + t.vm();
        };
    }
}
