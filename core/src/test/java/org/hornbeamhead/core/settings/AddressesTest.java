package org.hornbeamhead.core.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AddressesTest {
    @DataProvider
    public Object[][] valid() {
        return new Object[][] {{"10.0.0.1:80"}, {"0.0.0.0:0"}, {"255.255.255.255:65535"}};
    }

    @Test(dataProvider = "valid")
    public void addressIsFormattedAsItWasWritten(String text) {
        assertEquals(Addresses.format(Addresses.parse(text).get()), text);
    }

    @DataProvider
    public Object[][] invalid() {
        return new Object[][] {
            {"999.1.1.1:80"},
            {"256.0.0.1:80"},
            {"10.0.0.01:80"},
            {"10.0.0:80"},
            {"10.0.0.1:65536"},
            {"10.0.0.1:080"},
            {"10.0.0.1:-1"},
            {"host:80"},
            {""},
        };
    }

    /** Guards against a name service that is asked, on the thread of all requests, for an address that is none. */
    @Test(dataProvider = "invalid", timeOut = 1_000)
    public void otherTextIsRejected(String text) {
        assertTrue(Addresses.parse(text).isLeft());
    }
}
