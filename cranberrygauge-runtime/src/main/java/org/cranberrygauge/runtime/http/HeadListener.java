package org.cranberrygauge.runtime.http;

/** Learns when the head of a request begins and ends on a connection. Called on the event loop of the connection. */
interface HeadListener {

    /** Called when the first byte of a head has arrived; empty lines before it don't count. */
    void onHeadBegun();

    /** Called when a head is complete, or can't be decoded. */
    void onHeadEnded();
}
