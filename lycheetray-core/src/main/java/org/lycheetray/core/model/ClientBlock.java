package org.lycheetray.core.model;

/**
 * A CIDR block of client addresses and the region nearest to them.
 *
 * @param cidr the block, for example {@code 192.0.2.0/24}
 * @param region the region that is preferred for look-ups from the block
 */
public record ClientBlock(String cidr, RegionName region) {}
