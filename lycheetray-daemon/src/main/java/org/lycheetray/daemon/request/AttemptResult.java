package org.lycheetray.daemon.request;

/** Result of one attempt at a backend server. */
public sealed interface AttemptResult {
    /**
     * The backend server answered.
     *
     * @param answer its answer
     */
    record Answered(Answer answer) implements AttemptResult {}

    /**
     * The backend server has not run the request and will not run it.
     *
     * @param step step at which the attempt ended
     * @param detail cause of the failure
     * @param shed true if the server refused the request because of overload, false if it was not reached
     */
    record NotRun(String step, String detail, boolean shed) implements AttemptResult {}

    /**
     * The request was sent, and the backend server may have run it or may still run it.
     *
     * @param step step at which the attempt ended
     * @param detail cause of the failure
     * @param timedOut true if the deadline passed, false for any other cause, such as a lost connection
     */
    record Uncertain(String step, String detail, boolean timedOut) implements AttemptResult {}
}
