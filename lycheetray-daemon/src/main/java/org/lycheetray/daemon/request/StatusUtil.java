package org.lycheetray.daemon.request;

/** Classifies the statuses of answers. */
public final class StatusUtil {
    private static final int MIN_FINAL = 200;
    private static final int MAX = 599;

    private StatusUtil() {}

    /**
     * Returns whether a status ends an exchange. Interim statuses, and numbers that HTTP does not define as statuses, such
     * as 0, do not.
     *
     * @param status the status of an answer
     * @return true from 200 to 599
     */
    public static boolean isFinal(int status) {
        return status >= MIN_FINAL && status <= MAX;
    }
}
