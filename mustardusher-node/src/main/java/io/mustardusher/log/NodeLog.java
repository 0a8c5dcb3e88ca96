package io.mustardusher.log;

import java.lang.invoke.MethodHandles;

import org.jboss.logging.BasicLogger;
import org.jboss.logging.Logger;
import org.jboss.logging.annotations.LogMessage;
import org.jboss.logging.annotations.Message;
import org.jboss.logging.annotations.MessageLogger;

/** The numbered events of a node. */
@MessageLogger(projectCode = "MUSH", length = 4)
public interface NodeLog extends BasicLogger {

    /** Events of the node's life, its members and its catalogue. */
    NodeLog LOG = Logger.getMessageLogger(MethodHandles.lookup(), NodeLog.class, "io.mustardusher.node");

    /** Routing and placement decisions. */
    NodeLog DECISIONS = Logger.getMessageLogger(MethodHandles.lookup(), NodeLog.class, "io.mustardusher.decision");

    /**
     * The node serves.
     *
     * @param node   its name
     * @param domain its failure domain
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1001, value = "node %s in %s serves")
    void started(String node, String domain);

    /**
     * The node begins a graceful shutdown.
     *
     * @param node   its name
     * @param inside calls inside
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1002, value = "node %s stops; %d calls in flight")
    void stopping(String node, int inside);

    /**
     * The node has stopped.
     *
     * @param node   its name
     * @param inside calls cut off
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1003, value = "node %s stopped; %d calls cut off")
    void stopped(String node, int inside);

    /**
     * A connection from another node was closed because of a fault.
     *
     * @param cause the fault
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1004, value = "frame connection closed: %s")
    void frameFault(String cause);

    /**
     * The table service does not answer.
     *
     * @param doing what was asked
     * @param cause the failure
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1005, value = "table service failed on %s: %s")
    void storeFailed(String doing, String cause);

    /**
     * A member changed.
     *
     * @param member its name
     * @param state  its state
     * @param detail its service and incarnation
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1101, value = "member %s is %s (%s)")
    void member(String member, String state, String detail);

    /**
     * A backend server announced itself.
     *
     * @param service its service
     * @param address its address
     * @param state   its state
     * @param slots   its slots
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1102, value = "backend server of %s at %s announces %s with %d slots")
    void announced(String service, String address, String state, long slots);

    /**
     * A backend server crashed.
     *
     * @param crash    number of the crash
     * @param suspects calls that were in flight
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1103, value = "backend server crashed (crash %d) with %d calls in flight")
    void crashed(long crash, int suspects);

    /**
     * A catalogue revision is in force at this node.
     *
     * @param revision the revision
     * @param from     where it came from
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1201, value = "catalogue revision %d in force, from %s")
    void inForce(long revision, String from);

    /**
     * A change was accepted.
     *
     * @param change   its id
     * @param service  its service
     * @param revision its revision
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1202, value = "change %s of %s accepted as revision %d")
    void changeAccepted(String change, String service, long revision);

    /**
     * A change was refused.
     *
     * @param change  its id
     * @param service its service
     * @param code    number of the result code
     * @param detail  why
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1203, value = "change %s of %s refused with %d: %s")
    void changeRefused(String change, String service, int code, String detail);

    /**
     * A version of the routes came into force.
     *
     * @param version the version
     * @param routes  number of routes
     * @param from    where it came from
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1204, value = "routes version %d in force with %d routes, from %s")
    void routesInForce(long version, int routes, String from);

    /**
     * A version of the routes could not be read; the one before it stays in force.
     *
     * @param version the version
     * @param cause   what is wrong
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1205, value = "routes version %d left out: %s")
    void routesUnreadable(long version, String cause);

    /**
     * The keepers of a service changed.
     *
     * @param service the service
     * @param epoch   the epoch
     * @param keepers the keepers
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1301, value = "keepers of %s in epoch %d: %s")
    void keepers(String service, long epoch, String keepers);

    /**
     * A call was routed.
     *
     * @param call       its name
     * @param service    its service
     * @param node       node beside the chosen backend server
     * @param policy     routing policy
     * @param attempt    number of the send
     * @param micros     estimated time to an answer, in microseconds
     * @param candidates servers to choose from
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2001, value = "call %s: route %s to %s by %s, attempt %d, estimate %d us, of %d")
    void routed(String call, String service, String node, String policy, int attempt, long micros, int candidates);

    /**
     * A call ended without an answer of a server.
     *
     * @param call    its name
     * @param service its service
     * @param code    number of the result code
     * @param attempt number of the send
     * @param detail  what happened
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2002, value = "call %s: no answer from %s, code %d after attempt %d: %s")
    void notRouted(String call, String service, int code, int attempt, String detail);

    /**
     * The gate refused a call.
     *
     * @param call    its name
     * @param service its service
     * @param code    number of the result code
     * @param busy    calls at the server
     * @param queued  calls that wait
     * @param limit   calls admitted at once
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2003, value = "call %s: gate of %s refuses with %d; busy %d, queued %d, limit %d")
    void gateRefused(String call, String service, int code, int busy, int queued, int limit);

    /**
     * A call that was sent to the backend server has no answer of it.
     *
     * @param call    its name
     * @param service its service
     * @param code    number of the result code
     * @param millis  time since it was sent, in milliseconds
     * @param detail  what was seen
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2006, value = "call %s: server of %s gave no answer, code %d after %d ms: %s")
    void serverLost(String call, String service, int code, long millis, String detail);

    /**
     * The settings were read again.
     *
     * @param outcome what came of it
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1006, value = "settings read again: %s")
    void reloaded(String outcome);

    /**
     * An announcement was left out.
     *
     * @param instance what it claims to come from
     * @param text     its body
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1104, value = "announcement of %s left out: %s")
    void announcementLeftOut(String instance, String text);

    /**
     * A call was answered by a server.
     *
     * @param call    its name
     * @param server  node beside the server
     * @param status  status of the answer
     * @param attempt number of the send
     * @param micros  time since the call arrived, in microseconds
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2005, value = "call %s: %s answers %d after attempt %d, %d us")
    void answered(String call, String server, int status, int attempt, long micros);

    /**
     * A call with a key was placed at its home.
     *
     * @param service its service
     * @param home    the home
     * @param epoch   epoch of the keepers
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2004, value = "place key of %s at home %s in epoch %d")
    void placed(String service, String home, long epoch);
}
