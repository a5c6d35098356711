package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.SapphireClient;

/** Configuration records that the demonstration submits. Stateless. */
final class DemoRecords {

    static final String ACCOUNT = "adepa";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private DemoRecords() {}

    static ObjectNode account() {
        return MAPPER.createObjectNode().put("keyHash", Fleet.hashKey(Fleet.ACCOUNT_KEY));
    }

    static void submit(Fleet fleet, SapphireClient operator)
            throws ClientException, FleetException {
        fleet.putRecord(operator, "service/" + Fleet.ENGINE_SERVICE, service("ENGINE"));
        fleet.putRecord(operator, "service/" + Fleet.PLAIN_SERVICE, service("PLAIN"));
        fleet.putRecord(operator, "account/" + ACCOUNT, account());
        ObjectNode model = MAPPER.createObjectNode().put("service", Fleet.ENGINE_SERVICE);
        model.putObject("pin").put("model", "base").put("adapter", "").put("version", "1");
        fleet.putRecord(operator, "model/" + Fleet.MODEL, model);
    }

    private static ObjectNode service(String type) {
        return MAPPER.createObjectNode()
                .put("type", type)
                .put("endpointKeyHash", Fleet.hashKey(Fleet.ENDPOINT_KEY));
    }
}
