package org.lycheetray.core.model;

/**
 * A block of client addresses and the region nearest to it.
 *
 * @param cidr the block, for example {@code 192.0.2.0/24}
 * @param region region that look-ups from it prefer
 */
public record ClientBlock(String cidr, RegionName region) {}
