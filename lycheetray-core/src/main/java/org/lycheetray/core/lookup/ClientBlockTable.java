package org.lycheetray.core.lookup;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lycheetray.core.lookup.internal.Entry;
import org.lycheetray.core.lookup.internal.PrefixTable;
import org.lycheetray.core.model.ClientBlock;
import org.lycheetray.core.model.RegionName;

/**
 * A table of client address blocks and the region nearest to each, stored in packed arrays.
 *
 * <p>The region of an address is that of the longest block that contains it. Only one thread may change the table; any
 * thread may read it without a lock, also during a change. The prefix length of IPv6 blocks is at most 64, as no
 * network is smaller.
 */
public final class ClientBlockTable {
    private final PrefixTable ipv4 = new PrefixTable();
    private final PrefixTable ipv6 = new PrefixTable();
    private final CopyOnWriteArrayList<RegionName> regions = new CopyOnWriteArrayList<>();
    private final Map<RegionName, Short> regionIndexes = new HashMap<>();

    /**
     * Replaces the entire content.
     *
     * @param blocks the blocks; the last of several equal ones is used
     * @throws IllegalArgumentException if a block is malformed; the content is then unchanged
     */
    public void load(Collection<ClientBlock> blocks) {
        List<Entry> v4 = new ArrayList<>();
        List<Entry> v6 = new ArrayList<>();
        for (ClientBlock b : blocks) {
            Prefix p = Prefix.parse(b.cidr());
            (p.ipv6() ? v6 : v4).add(new Entry(p.bits(), p.length(), regionIndex(b.region())));
        }
        ipv4.load(v4);
        ipv6.load(v6);
    }

    /**
     * Adds a block or changes its region.
     *
     * @param block the block
     */
    public void put(ClientBlock block) {
        Prefix p = Prefix.parse(block.cidr());
        apply(p, regionIndex(block.region()));
    }

    /**
     * Adds a block or changes its region.
     *
     * @param prefix the block
     * @param region its region
     */
    public void put(Prefix prefix, RegionName region) {
        apply(prefix, regionIndex(region));
    }

    /**
     * Removes a block if present.
     *
     * @param prefix the block
     */
    public void remove(Prefix prefix) {
        apply(prefix, PrefixTable.NO_REGION);
    }

    private void apply(Prefix p, short regionIndex) {
        (p.ipv6() ? ipv6 : ipv4).apply(new Entry(p.bits(), p.length(), regionIndex));
    }

    private short regionIndex(RegionName region) {
        Short known = regionIndexes.get(region);
        if (known != null) {
            return known;
        }
        if (regions.size() >= Short.MAX_VALUE) {
            throw new IllegalArgumentException("more than " + Short.MAX_VALUE + " regions");
        }
        short next = (short) regions.size();
        regions.add(region);
        regionIndexes.put(region, next);
        return next;
    }

    /**
     * Finds the region nearest to a client.
     *
     * @param client the client's address
     * @return the region, empty if no block contains the address
     */
    public Optional<RegionName> find(InetAddress client) {
        Prefix p = Prefix.ofAddress(client);
        return find(p.bits(), p.ipv6());
    }

    /**
     * Finds the region nearest to a client.
     *
     * @param bits first 64 bits of the address, an IPv4 address in the upper 32
     * @param ipv6 true for IPv6
     * @return the region, empty if no block contains the address
     */
    public Optional<RegionName> find(long bits, boolean ipv6) {
        short regionIndex = (ipv6 ? this.ipv6 : ipv4).find(bits);
        return regionIndex == PrefixTable.NO_REGION ? Optional.empty() : Optional.of(regions.get(regionIndex));
    }

    /**
     * Returns the number of blocks.
     *
     * @return number of blocks
     */
    public int size() {
        return ipv4.size() + ipv6.size();
    }
}
