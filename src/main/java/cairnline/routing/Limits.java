package cairnline.routing;

/** Every size, count and time of the program, filled at start. Times are microseconds, sizes bytes. */
public record Limits(Routing routing, Connections connections, Clients clients, Engines engines, Feed feed,
                     Shutdown shutdown, Http http) {
    /**
     * The core.
     *
     * @param mailbox letters that an actor holds; whoever leaves one waits when it is full
     * @param stackBytes stack of the program's threads
     * @param openRequests open requests in all
     * @param answerMargin answers go out so long before the client gives up
     * @param drainGrace nothing leaves for an engine so long after it was told to drain
     * @param retryAfter advice to a refused client, where the wire has room for it and the module gives none
     */
    public record Routing(int mailbox, int stackBytes, int openRequests, long answerMargin, long drainGrace,
                          long retryAfter) { }

    /**
     * Every connection, to clients and to engines.
     *
     * @param mailbox requests that may wait to be written to an engine; beyond that it is full
     * @param linger so long a connection whose output has been ended waits for its peer to end it too
     * @param ignoredBytes so much is read and dropped where input is not used any more
     * @param writeStall a peer that takes nothing for so long is closed
     * @param connect a connection that is not up by then has failed
     */
    public record Connections(int mailbox, long linger, int ignoredBytes, long writeStall, long connect) { }

    /**
     * Clients.
     *
     * @param connections client connections at once
     * @param openRequests open requests on one of them
     * @param heldBytes bytes in all of statements that are open and of messages that have begun and not ended
     * @param idle after this a connection with nothing open is closed
     * @param evictableAfter one on which nothing has moved for so long gives way to another where there is no room
     * @param firstMessage a client that has begun nothing by then is turned away
     * @param wholeMessage a message that has begun must be whole by then
     * @param frameBytes longest frame
     */
    public record Clients(int connections, int openRequests, long heldBytes, long idle, long evictableAfter,
                          long firstMessage, long wholeMessage, int frameBytes) { }

    /**
     * Engines on the platform's wire.
     *
     * @param idle after this an idle connection is closed from this side, before an engine does it
     * @param connectionsEach connections to one engine
     * @param connections connections to all engines together
     * @param streams open requests on one connection
     * @param streamsSpread from so many on another connection is opened: one that ends takes all that is open along
     * @param silence a connection with requests open that tells nothing for so long is closed
     * @param partialAnswer one on which an answer has begun and not ended by then is closed
     * @param partBytes largest part of an answer
     * @param pageBytes largest page of a result
     * @param pages most pages of a result
     * @param resultBytes largest result
     */
    public record Engines(long idle, int connectionsEach, int connections, int streams, int streamsSpread, long silence,
                          long partialAnswer, int partBytes, int pageBytes, int pages, int resultBytes) { }

    /**
     * The control feed.
     *
     * @param connect a feed that is not up by then is tried again
     * @param pause between attempts to reach it
     * @param silence after this a silent feed is left and reached anew
     * @param firstTold so long a feed that was just asked may take to tell what it has
     * @param lineBytes longest line
     */
    public record Feed(long connect, long pause, long silence, long firstTold, int lineBytes) { }

    /**
     * The end of the program, counted from SIGTERM.
     *
     * @param taking requests are taken for so long
     * @param answering after so long what is still open is answered as refused or failed
     * @param draining after the last answer connections have so long to end in order
     */
    public record Shutdown(long taking, long answering, long draining) { }

    /**
     * OData over HTTP.
     *
     * @param connections connections to one engine, each of which carries one request
     * @param headBytes longest head of a message
     * @param bodyBytes longest body of a message, and longest answer
     * @param pages most pages of one answer
     * @param batchRequests most requests in one batch
     */
    public record Http(int connections, int headBytes, int bodyBytes, int pages, int batchRequests) { }
}
