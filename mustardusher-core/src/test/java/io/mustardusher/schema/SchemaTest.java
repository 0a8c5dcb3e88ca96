package io.mustardusher.schema;

import io.mustardusher.generated.EntryDocument;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SchemaTest {

    @Test
    void commentsAreAccepted() {
        EntryDocument entry = Schema.ENTRY.read(
                "{ // a clip server\n\"service\": \"clips\", \"owner\": \"o\", \"class\": \"standard\"}");
        assertThat(entry.getDeadlineMillis()).isEqualTo(2000);
    }

    @Test
    void unknownFieldIsRejectedWithItsName() {
        MustardusherException exception = assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read(
                        "{\"service\": \"clips\", \"owner\": \"o\", \"class\": \"standard\", \"colour\": 1}"));
        assertThat(exception.code()).isEqualTo(ResultCode.ENTRY_INVALID);
        assertThat(exception).hasMessageThat().contains("colour");
    }

    @Test
    void messageNamesEveryInvalidField() {
        MustardusherException exception = assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read("{\"service\": \"Clips!\", \"class\": \"urgent\"}"));
        assertThat(exception).hasMessageThat().contains("service");
        assertThat(exception).hasMessageThat().contains("class");
        assertThat(exception).hasMessageThat().contains("owner");
    }

    @Test
    void duplicateKeyIsRejected() {
        assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read(
                        "{\"service\": \"a\", \"service\": \"b\", \"owner\": \"o\", \"class\": \"standard\"}"));
    }
}
