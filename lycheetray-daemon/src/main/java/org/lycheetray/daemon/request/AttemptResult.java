package org.lycheetray.daemon.request;

/** How one attempt at a backend server ended. */
public sealed interface AttemptResult {
    /**
     * The backend server answered.
     *
     * @param answer its answer
     */
    record Answered(Answer answer) implements AttemptResult {}

    /**
     * The backend server certainly has not run the request and will not.
     *
     * @param step step at which the attempt ended
     * @param detail what went wrong
     * @param shed true if the server refused because it was full, false if it could not be reached
     */
    record NotRun(String step, String detail, boolean shed) implements AttemptResult {}

    /**
     * The request was sent and the backend server may have run it, or may yet.
     *
     * @param step step at which the attempt ended
     * @param detail what went wrong
     * @param timedOut true if the deadline passed, false if the connection broke
     */
    record Uncertain(String step, String detail, boolean timedOut) implements AttemptResult {}
}
