package org.lycheetray.core.model;

/**
 * One life of an entry VM's process; a later process of the same VM has a greater number.
 *
 * @param vm the VM
 * @param number milliseconds since the epoch at which the process started
 */
public record Incarnation(VmName vm, long number) {
    @Override
    public String toString() {
        return vm + "@" + number;
    }
}
