package org.lycheetray.core.model;

/**
 * One process of an entry VM; a later process of the same VM has a greater number.
 *
 * @param vm the VM
 * @param number start time of the process, in milliseconds since the epoch
 */
public record Incarnation(VmName vm, long number) {
    @Override
    public String toString() {
        return vm + "@" + number;
    }
}
