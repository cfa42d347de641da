package wire

// MachineType is a type of machine that can be rented (protocol: "GET /flavors").
type MachineType struct {
	Name        string   `cbor:"sku"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"gpus"`
	MemGB       float64  `cbor:"memGb"`
	CacheGB     float64  `cbor:"cacheGb"`
	FetchGBPerS float64  `cbor:"fetchGbPerS"`
	Price       float64  `cbor:"hourly"`      // per hour
	SpotPrice   float64  `cbor:"marketPrice"` // per hour, at present
	BootS       float64  `cbor:"readyS"`
	Zones       []string `cbor:"paddocks"`
}

// MachineTypes lists what the cloud offers.
type MachineTypes struct {
	Types []MachineType `cbor:"breeds"`
}

// RentalRequest asks the cloud for machines (protocol: "POST /rentals"). A Request that was granted
// is granted with the same machines when repeated, and must never be used for others.
type RentalRequest struct {
	RequestID string `cbor:"hire"`
	Type      string `cbor:"breed"`
	Zone      string `cbor:"paddock"`
	Spot      bool   `cbor:"strays"`
	Count     int    `cbor:"count"`
}

// Refusal is the body of a 503 from the cloud.
type Refusal struct {
	Error string `cbor:"error"`
}

// MachineNames lists machines that were rented or are to be returned.
type MachineNames struct {
	Machines []string `cbor:"posts"`
}

// RentalState is the state of a machine in the cloud's list (protocol: "GET /rentals").
type RentalState string

// States of a ListedMachine.
const (
	MachineBooting RentalState = "starting"
	MachineRunning RentalState = "running"
	MachineFailed  RentalState = "failed"
)

// ListedMachine is a row of the cloud's list of machines.
type ListedMachine struct {
	ID    string      `cbor:"nameId"`
	Addr  string      `cbor:"address"`
	Type  string      `cbor:"breed"`
	Zone  string      `cbor:"paddock"`
	Spot  bool        `cbor:"strays"`
	State RentalState `cbor:"stance"`
	AgeS  float64     `cbor:"ageS"` // since the rental, at the time that the list describes
}

// MachineList is a page of the cloud's list of machines, which lags.
type MachineList struct {
	Machines []ListedMachine `cbor:"posts"`
	More     bool            `cbor:"truncated"`
}
