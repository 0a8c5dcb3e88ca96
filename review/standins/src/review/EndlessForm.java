package review;

import java.util.LinkedHashMap;
import java.util.Map;

/** A way in which peers of the nodes misbehave. */
interface EndlessForm {

    /** Starts peers that go on until the trouble ends. */
    void begin(EndlessBytes run) throws Exception;

    /** Returns all forms by name, in the order in which they are played. */
    static Map<String, EndlessForm> all() {
        Map<String, EndlessForm> forms = new LinkedHashMap<>();
        EndlessCallers.addTo(forms);
        EndlessUpstreams.addTo(forms);
        EndlessPeers.addTo(forms);
        return forms;
    }
}
