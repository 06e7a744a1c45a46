package cairnline.routing;

/** All sizes, counts and times that bound the program, set at start-up. Times are in microseconds, sizes in bytes. */
public record Limits(Routing routing, Connections connections, Clients clients, Engines engines, Feed feed,
                     Shutdown shutdown, Http http) {
    /**
     * Limits of the dispatcher and of threads.
     *
     * @param mailbox maximum number of tasks in an actor's mailbox; whoever submits a task to a full mailbox waits
     * @param stackBytes stack size of the program's threads
     * @param openRequests maximum number of open requests
     * @param answerMargin how long before the client's timeout an answer is due
     * @param drainGrace time after the start of a drain from which on nothing is sent to the engine
     * @param retryAfter advice to a refused client, where the protocol can carry it and the decision module gives none
     */
    public record Routing(int mailbox, int stackBytes, int openRequests, long answerMargin, long drainGrace,
                          long retryAfter) { }

    /**
     * Limits of each connection, to clients and to engines.
     *
     * @param mailbox maximum number of requests that wait to be written to an engine; beyond it, requests are rejected
     * @param linger time for which a connection whose output was shut down waits for the peer to close it
     * @param ignoredBytes maximum number of bytes that are read and discarded once the input is no longer used
     * @param writeStallTimeout a connection whose peer accepts no bytes for this long is closed
     * @param connectTimeout time within which a connection must be established
     */
    public record Connections(int mailbox, long linger, int ignoredBytes, long writeStallTimeout, long connectTimeout) { }

    /**
     * Limits of clients.
     *
     * @param connections maximum number of client connections
     * @param openRequests maximum number of open requests on one connection
     * @param heldBytes maximum total memory held for open requests and incomplete messages
     * @param unsentBytes total memory of answers that wait to be accepted by clients, beyond which a client that accepts
     *     none gets failures instead of rows
     * @param idleTimeout a connection without open requests is closed after this time
     * @param evictableAfter a connection without activity for this long may be evicted in favour of a new one
     * @param firstMessageTimeout time within which a client must have started its first message
     * @param messageTimeout time within which a message that has started must be complete
     * @param frameBytes maximum length of a frame
     */
    public record Clients(int connections, int openRequests, long heldBytes, long unsentBytes, long idleTimeout,
                          long evictableAfter, long firstMessageTimeout, long messageTimeout, int frameBytes) { }

    /**
     * Limits of connections to engines by the platform's protocol.
     *
     * @param idleTimeout an idle connection is closed by this side after this time, before the engine closes it
     * @param connectionsPerEngine maximum number of connections to one engine
     * @param connections maximum number of connections to all engines together
     * @param streamsPerConnection maximum number of open requests on one connection
     * @param streamsBeforeNewConnection number of open requests on a connection from which on another one is opened, since
     *     a connection that closes fails all requests on it
     * @param silenceTimeout a connection with open requests that receives nothing for this long is closed
     * @param partialAnswerTimeout time within which an answer that has started must be complete, or its connection is closed
     * @param partBytes maximum size of a part of an answer
     * @param pageBytes maximum size of a page of a result
     * @param pages maximum number of pages of a result
     * @param resultBytes maximum size of a result
     * @param heldBytes maximum total memory held for partial answers and for results that the dispatcher has not taken yet
     * @param unsentBytes total memory of encoded commands that wait to be accepted by engines, beyond which nothing is read
     *     from an engine that accepts none
     */
    public record Engines(long idleTimeout, int connectionsPerEngine, int connections, int streamsPerConnection,
                          int streamsBeforeNewConnection, long silenceTimeout, long partialAnswerTimeout, int partBytes,
                          int pageBytes, int pages, int resultBytes, long heldBytes, long unsentBytes) { }

    /**
     * Limits of the control feed.
     *
     * @param connectTimeout time within which a connection to the feed must be established
     * @param reconnectDelay time between two attempts to connect
     * @param silenceTimeout a connection that receives nothing for this long is replaced by a new one
     * @param firstUpdateTimeout time that a feed has to send its updates after the subscription
     * @param lineBytes maximum length of a line
     */
    public record Feed(long connectTimeout, long reconnectDelay, long silenceTimeout, long firstUpdateTimeout,
                       int lineBytes) { }

    /**
     * Limits of the orderly shutdown. The first two are counted from SIGTERM.
     *
     * @param acceptPeriod time for which requests are still accepted
     * @param answerPeriod time after which requests that are still open are answered as refused or failed
     * @param drainPeriod time that connections have after the last answer to close in order
     */
    public record Shutdown(long acceptPeriod, long answerPeriod, long drainPeriod) { }

    /**
     * Limits of OData over HTTP.
     *
     * @param connections maximum number of connections to one engine, each of which carries one request at a time
     * @param headBytes maximum size of a message's head
     * @param bodyBytes maximum size of a message's body, and of an answer
     * @param pages maximum number of pages of an answer
     * @param batchRequests maximum number of requests in a batch
     */
    public record Http(int connections, int headBytes, int bodyBytes, int pages, int batchRequests) { }
}
