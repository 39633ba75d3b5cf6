package org.cranberrygauge.verification.faults;

/** The invariants that the matrix checks, as counted by the emulated external systems. */
enum Invariant {
    /** A booking, deposit or print order runs at most once. */
    AT_MOST_ONCE("A call on an at-most-once route runs at most once"),
    NOT_RUN_IS_TRUE("A refusal saying \"not run\" is true"),
    OWN_ANSWER("Each caller gets the answer to its own request, also when answers are late or crossed"),
    WHOLE_STREAM("Each caller receives its complete stream, or an error if its own gateway is lost"),
    /** The platform receives no order of a former lease holder. */
    ONE_IN_CHARGE("The platform carries out no order of a former holder after one of its successor"),
    /** The pool ends with the size that the present lease holder ordered. */
    LAST_ORDER_STANDS("The final state at the platform is the one that the current holder ordered"),
    /** An accepted change never reverts. */
    NEVER_REVERTS("An accepted configuration never reverts, and all gateways end with the same"),
    /** No request is admitted by a key after its withdrawal was accepted. */
    WITHDRAWN_KEY("A key whose withdrawal was accepted admits nothing"),
    ONE_REPORT("No usage window is reported with different figures"),
    EXACT_USAGE("Reported usage equals the engines' own count"),
    /** A drained backend server gets no new requests after a few seconds. */
    NO_NEW_WORK("A draining backend server receives no new work after a few seconds"),
    NO_CUT("A planned drain interrupts no request");

    /** The description for the page. */
    private final String text;

    Invariant(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }
}
