package org.lycheetray.core.lookup;

import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Vm;

/**
 * An entry VM that callers may be sent to.
 *
 * @param vm the VM
 * @param region its region
 * @param warm false while it has started lately: its token buckets fill from empty, so it is ranked after the others
 */
public record EntryVm(Vm vm, RegionName region, boolean warm) {}
