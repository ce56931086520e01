package org.lycheetray.core.lookup;

import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Vm;

/**
 * An entry VM that may be returned to callers.
 *
 * @param vm the VM
 * @param region its region
 * @param warm false if the VM started recently: its token buckets start empty, so it is ranked after the others
 */
public record EntryVm(Vm vm, RegionName region, boolean warm) {}
