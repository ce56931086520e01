package org.lycheetray.core.lookup;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ClientBlock;
import org.lycheetray.core.model.RegionName;

class ClientBlockTableTest {
    private final ClientBlockTable table = new ClientBlockTable();

    private static ClientBlock block(String cidr, String region) {
        return new ClientBlock(cidr, new RegionName(region));
    }

    private Optional<String> find(String address) throws Exception {
        return table.find(InetAddress.getByName(address)).map(RegionName::value);
    }

    @Test
    void findsLongestBlock() throws Exception {
        table.load(List.of(block("10.0.0.0/8", "a"), block("10.1.0.0/16", "b"), block("2001:db8::/32", "c")));
        assertThat(find("10.1.2.3")).contains("b");
        assertThat(find("10.2.0.0")).contains("a");
        assertThat(find("2001:db8:1::5")).contains("c");
        assertThat(find("11.0.0.0")).isEmpty();
    }

    @Test
    void findsEnclosingBlockAfterRemoval() throws Exception {
        table.load(List.of(block("0.0.0.0/0", "a"), block("255.0.0.0/8", "b")));
        table.remove(Prefix.parse("255.0.0.0/8"));
        assertThat(find("255.1.1.1")).contains("a");
    }

    @Test
    void malformedBlockLeavesContentUnchanged() {
        table.load(List.of(block("10.0.0.0/8", "a")));
        assertThatThrownBy(() -> table.load(List.of(block("10.0.0.0/33", "a")))).hasMessageContaining("33");
        assertThatThrownBy(() -> Prefix.parse("example.org/8")).hasMessageContaining("example.org");
        assertThat(table.size()).isEqualTo(1);
    }

    @Property(seed = "609", tries = 30)
    void agreesWithLinearSearch(@ForAll Random random) {
        table.load(List.of());
        Map<Prefix, RegionName> naive = new HashMap<>();
        for (int i = 0; i < 1500; i++) {
            Prefix p = new Prefix((long) random.nextInt(1 << 12) << 52, 2 + random.nextInt(20), false);
            RegionName region = new RegionName("r" + random.nextInt(9));
            if (random.nextInt(4) == 0) {
                naive.remove(p);
                table.remove(p);
            } else {
                naive.put(p, region);
                table.put(p, region);
            }
        }
        assertThat(table.size()).isEqualTo(naive.size());
        for (int i = 0; i < 300; i++) {
            long address = (long) random.nextInt() << 32;
            assertThat(table.find(address, false)).isEqualTo(longest(naive, address));
        }
    }

    private static Optional<RegionName> longest(Map<Prefix, RegionName> blocks, long address) {
        return blocks.entrySet().stream()
                .filter(e -> e.getKey().contains(new Prefix(address, 32, false)))
                .max(Comparator.comparingInt(e -> e.getKey().length()))
                .map(Map.Entry::getValue);
    }
}
