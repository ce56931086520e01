package org.lycheetray.measure.admission;

/** What a run counted. */
final class Tally {
    long requests;
    long withinRate;
    long admitted;
    long overAdmitted;
    long wrongful;
    long wrongfulOfSplit;
    long overAdmittedBySplit;
    long waited;
    long messages;
    long storeOperations;
    double vmSeconds;

    void add(Tally o) {
        requests += o.requests;
        withinRate += o.withinRate;
        admitted += o.admitted;
        overAdmitted += o.overAdmitted;
        wrongful += o.wrongful;
        wrongfulOfSplit += o.wrongfulOfSplit;
        overAdmittedBySplit += o.overAdmittedBySplit;
        waited += o.waited;
        messages += o.messages;
        storeOperations += o.storeOperations;
        vmSeconds += o.vmSeconds;
    }

    double wrongfulPercent() {
        return 100.0 * wrongful / Math.max(1, withinRate);
    }

    /** Requests admitted in all, in relation to those that one exact bucket admits. */
    double admittedPercent() {
        return 100.0 * admitted / Math.max(1, withinRate);
    }

    double wrongfulPercentOfSplit() {
        return 100.0 * wrongfulOfSplit / Math.max(1, withinRate);
    }
}
