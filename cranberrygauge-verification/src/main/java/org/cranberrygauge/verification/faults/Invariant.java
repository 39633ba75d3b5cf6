package org.cranberrygauge.verification.faults;

/** What must hold, as far as the matrix checks it at the far end. */
enum Invariant {
    /** A booking, deposit or print order runs at most once. */
    AT_MOST_ONCE("A call on an at-most-once route runs at most once"),
    /** A refusal that says "not run" is true. */
    NOT_RUN_IS_TRUE("A refusal saying \"not run\" is true"),
    /** Each caller gets the whole answer to its own request. */
    OWN_ANSWER("Each caller gets the answer to its own request, also when answers are late or crossed"),
    /** The platform gets no order of a process that is no longer in charge. */
    ONE_IN_CHARGE("The platform carries out no order of a former holder after one of its successor"),
    /** The pool ends as the present holder wants it. */
    LAST_ORDER_STANDS("The last state at the platform is what the present holder ordered"),
    /** An accepted change never reverts. */
    NEVER_REVERTS("An accepted configuration never reverts, and all gateways end with the same"),
    /** No admission by a key after its withdrawal was accepted. */
    WITHDRAWN_KEY("A key whose withdrawal was accepted admits nothing"),
    /** No window is reported with different figures. */
    ONE_REPORT("No usage window is reported with different figures"),
    /** The reports add up to what the engines counted. */
    EXACT_USAGE("Reported usage adds up to the engines' own count"),
    /** A drained backend server gets no new work after a few seconds. */
    NO_NEW_WORK("A leaving backend server gets no new work after a few seconds"),
    /** A planned emptying cuts no request. */
    NO_CUT("A planned emptying cuts no request");

    /** The text for the page. */
    private final String text;

    /**
     * Creates an invariant.
     *
     * @param text The text for the page.
     */
    Invariant(String text) {
        this.text = text;
    }

    /**
     * Returns the text for the page.
     *
     * @return The text.
     */
    String text() {
        return text;
    }
}
