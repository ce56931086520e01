package org.lycheetray.measure.lookup;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.lycheetray.core.lookup.ClientBlockTable;
import org.lycheetray.core.lookup.EntryVm;
import org.lycheetray.core.lookup.EntryVmRanking;
import org.lycheetray.core.lookup.Prefix;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.measure.Figures;
import org.lycheetray.measure.MeasureOptions;
import org.lycheetray.measure.Measurement;

/** Memory, speed and update time of look-ups at the size that is aimed at. */
public final class LookupMeasurement implements Measurement {
    private static final int BLOCKS = 1_200_000;
    private static final int SITES = 570;
    private static final double BYTES_PER_BLOCK_BOUND = 16;
    private static final double LOOKUPS_PER_VM_BOUND = 1_100;
    private static final double IPV6_PART = 0.2;
    private static final int VMS_PER_REGION = 80;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double P99 = 0.99;

    @Override
    public String name() {
        return "lookup";
    }

    @Override
    public void run(MeasureOptions options, Figures figures) {
        SplittableRandom random = new SplittableRandom(options.seed());
        List<RegionName> sites = IntStream.range(0, SITES)
                .mapToObj(i -> new RegionName("site-" + i))
                .toList();
        long before = usedMemory();
        ClientBlockTable table = fill(random.split(), sites);
        long bytes = usedMemory() - before;
        figures.add("client-blocks", table.size(), "blocks");
        figures.atMost("bytes-per-client-block", (double) bytes / table.size(), "bytes", BYTES_PER_BLOCK_BOUND);
        int rounds = options.quick() ? 500_000 : 5_000_000;
        find(table, random.split(), rounds / 5);
        figures.add("table-lookups-per-second-per-core", find(table, random.split(), rounds), "lookups/s");
        deltas(table, sites, random.split(), options.quick() ? 500 : 10_000, figures);
        int rankings = options.quick() ? 2_000 : 30_000;
        rank(random.split(), rankings / 3);
        figures.atLeast(
                "rankings-per-second-per-core", rank(random.split(), rankings), "lookups/s", LOOKUPS_PER_VM_BOUND);
    }

    /** Fills block by block through deltas, so that no other collection of the blocks counts as memory. */
    private static ClientBlockTable fill(SplittableRandom random, List<RegionName> sites) {
        ClientBlockTable table = new ClientBlockTable();
        int ipv6 = (int) (BLOCKS * IPV6_PART);
        while (table.size() < BLOCKS) {
            int missing = BLOCKS - table.size();
            for (int i = 0; i < missing; i++) {
                boolean six = random.nextInt(BLOCKS) < ipv6;
                table.put(randomPrefix(random, six), sites.get(random.nextInt(SITES)));
            }
        }
        return table;
    }

    private static Prefix randomPrefix(SplittableRandom random, boolean ipv6) {
        return ipv6
                ? new Prefix(0x2000_0000_0000_0000L | (random.nextLong() >>> 3), 29 + random.nextInt(20), true)
                : new Prefix(random.nextLong(), 16 + random.nextInt(9), false);
    }

    private static double find(ClientBlockTable table, SplittableRandom random, int rounds) {
        long found = 0;
        long start = System.nanoTime();
        for (int i = 0; i < rounds; i++) {
            if (table.find(random.nextLong(), false).isPresent()) {
                found++;
            }
        }
        long nanos = System.nanoTime() - start;
        if (found == 0) {
            throw new IllegalStateException("no address was found");
        }
        return rounds * NANOS_PER_SECOND / nanos;
    }

    private static void deltas(
            ClientBlockTable table, List<RegionName> sites, SplittableRandom random, int count, Figures figures) {
        long[] nanos = new long[count];
        for (int i = 0; i < count; i++) {
            Prefix p = randomPrefix(random, random.nextInt(5) == 0);
            RegionName site = sites.get(random.nextInt(SITES));
            long start = System.nanoTime();
            table.put(p, site);
            nanos[i] = System.nanoTime() - start;
        }
        Arrays.sort(nanos);
        figures.add("delta-p50", nanos[count / 2] / NANOS_PER_MILLI, "ms");
        figures.add("delta-p99", nanos[(int) (count * P99)] / NANOS_PER_MILLI, "ms");
        figures.add("delta-max", nanos[count - 1] / NANOS_PER_MILLI, "ms");
    }

    private static double rank(SplittableRandom random, int rounds) {
        RegionName region = new RegionName("site-0");
        List<EntryVm> vms = new ArrayList<>();
        for (int i = 0; i < VMS_PER_REGION; i++) {
            Endpoint e = new Endpoint("127.0.0.1", 1 + i);
            vms.add(new EntryVm(new Vm(new VmName("vm-" + i), new DataCentreName("dc"), e, e), region, true));
        }
        EntryVmRanking ranking = new EntryVmRanking(vms, Map.of(region, List.of(region)), Duration.ofSeconds(30));
        ServiceName service = new ServiceName("catalogue");
        long sum = 0;
        long start = System.nanoTime();
        for (int i = 0; i < rounds; i++) {
            ClientAccountName account = new ClientAccountName("account-" + random.nextInt(10_000));
            sum += ranking.rank(region, service, Optional.of(account), i, 2).size();
        }
        long nanos = System.nanoTime() - start;
        if (sum != (long) rounds * VMS_PER_REGION) {
            throw new IllegalStateException("a ranking lacks VMs");
        }
        return rounds * NANOS_PER_SECOND / nanos;
    }

    private static long usedMemory() {
        Runtime r = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return r.totalMemory() - r.freeMemory();
    }
}
